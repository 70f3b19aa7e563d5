// Package ctl implements the commands of agatectl, the operators' tool.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// UsageError is an error in the arguments of a command.
type UsageError struct {
	Err error
}

// Error implements the error interface.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// environment holds the context of the commands and the writer for their output.
type environment struct {
	ctx    context.Context
	stdout io.Writer
}

// command describes a command of agatectl for the parser.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

const usage = `Commands for operators of an agatepulley fleet. NODE is the admin address of a node (IP:PORT).

Exit codes: 0 success, 1 failure, 2 bad usage or settings.`

// Run carries out one command and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	env := &environment{ctx: ctx, stdout: stdout}
	parser := flags.NewNamedParser("agatectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = usage
	for _, c := range commands(env) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintf(stderr, "agatectl: add command %s: %v\n", c.name, err)
			return ExitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

func commands(env *environment) []command {
	return []command{
		{"validate", "Check a configuration document", validateHelp, &validateCommand{env: env}},
		{"diff", "List the changes between two documents", diffHelp, &diffCommand{env: env}},
		{"status", "Show the status of a node", statusHelp, &statusCommand{env: env}},
		{"explain", "Show why a node treated a request as it did", explainHelp, &explainCommand{env: env}},
		{"lift", "Let requests run again that are refused because they crash endpoints", liftHelp, &liftCommand{env: env}},
		{"report", "Show why requests were not answered in time", reportHelp, &reportCommand{env: env, stdin: os.Stdin}},
		{"load", "Send requests at a constant rate and report the outcomes", loadHelp, &loadCommand{env: env}},
	}
}

// report prints the error of a command, or the requested help text, and returns the exit code.
func report(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitSuccess
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		return ExitSuccess
	}
	fmt.Fprintf(stderr, "agatectl: %v\n", err)
	var flagsErr *flags.Error
	var usageErr *UsageError
	if errors.As(err, &flagsErr) || errors.As(err, &usageErr) {
		return ExitUsage
	}
	return ExitFailure
}

// noArguments rejects arguments that a command does not take.
func noArguments(args []string) error {
	if len(args) > 0 {
		return &UsageError{Err: fmt.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

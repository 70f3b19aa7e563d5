// Command agatepulley runs one node of the proxy fleet beside the backend servers of a host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"agatepulley.example/agatepulley/pkg/node"
	"agatepulley.example/agatepulley/pkg/settings"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s, err := settings.Parse(args)
	var help *settings.HelpError
	switch {
	case errors.As(err, &help):
		fmt.Println(help.Text)
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case s.CheckSettings:
		fmt.Println("settings are valid")
		return 0
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

func serve(s *settings.Settings) error {
	logger, err := telemetry.NewLogger(os.Stdout, s.LogFormat, s.LogLevel)
	if err != nil {
		return err
	}
	n, err := node.New(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}

// Command agatepulley runs one node of the proxy fleet beside the backend servers of a host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
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

const (
	// gcPercent trades memory for processor time: the live heap of a node is small against its memory limit.
	gcPercent = 400
	// memoryLimitBytes makes the collector work harder before the node reaches the 128 MB that a host grants it.
	memoryLimitBytes = 112 << 20
)

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
	log, err := telemetry.NewLog(os.Stdout, s.LogFormat, s.LogLevel)
	if err != nil {
		return err
	}
	telemetry.RedirectHertzLog(log.Logger())
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}

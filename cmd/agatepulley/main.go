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

	"agatepulley.example/agatepulley/pkg/member"
	"agatepulley.example/agatepulley/pkg/node"
	"agatepulley.example/agatepulley/pkg/settings"
	"agatepulley.example/agatepulley/pkg/telemetry"
	"agatepulley.example/agatepulley/platform"
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
	// siteGCPercent is used where memory is charged for and hosts are small.
	siteGCPercent = 40
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
	err = serve(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	switch {
	case errors.Is(err, errSettings):
		return exitUsage
	case err != nil:
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
	// Without a handler the signal would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	n, err := newNode(s, log, reload)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.SiteSettings != "" {
		debug.SetGCPercent(siteGCPercent)
	}
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}

// runner is a node of either kind: with hosts that operators publish, or with endpoints that register themselves.
type runner interface {
	Run(ctx context.Context) error
}

func newNode(s *settings.Settings, log *telemetry.Log, reload <-chan os.Signal) (runner, error) {
	if s.SiteSettings == "" {
		return node.New(s, log)
	}
	load := func() (*member.Settings, error) { return platform.LoadSettings(s.SiteSettings) }
	site, err := load()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	return member.New(site, member.Platform{
		Store: platform.NewStore(site.StoreAddress), Headers: platform.Headers(), LoadSettings: load, Reload: reload,
	}, log)
}

// errSettings marks an error that ends the process like a wrong flag does.
var errSettings = errors.New("invalid settings")

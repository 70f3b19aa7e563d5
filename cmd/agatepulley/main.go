// Command agatepulley runs one node of the proxy fleet beside the backend servers of a host.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"agatepulley.example/agatepulley/core/placement"
	"agatepulley.example/agatepulley/pkg/member"
	"agatepulley.example/agatepulley/pkg/node"
	"agatepulley.example/agatepulley/pkg/resources"
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
	// gcPercent is the GOGC value of a node. It is above the default of 100 to save CPU time: the live heap of a node is
	// small compared with its memory limit.
	gcPercent = 400
	// siteGCPercent is the GOGC value of a node that is started with --site-settings. It is below the default because
	// memory is charged for there and the hosts are small.
	siteGCPercent = 40
)

// run starts the node and returns the exit code of the process.
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
	// The default action of SIGHUP terminates the process. Both kinds of nodes must survive the signal, also the one that
	// does not read the channel.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	n, limits, err := newNode(s, log, reload)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.SiteSettings != "" {
		debug.SetGCPercent(siteGCPercent)
	}
	debug.SetMemoryLimit(limits.RuntimeMemory())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}

// runner is a node of either kind: node.New creates one for hosts and endpoints that operators publish in a
// configuration document, member.New one for endpoints that register themselves with a platform.
type runner interface {
	Run(ctx context.Context) error
}

// newNode returns a node and the limits of its process.
func newNode(s *settings.Settings, log *telemetry.Log, reload <-chan os.Signal) (runner, resources.Limits, error) {
	if s.SiteSettings == "" {
		n, err := node.New(s, log)
		return n, node.Limits(s), err
	}
	load := func() (*member.Settings, error) {
		site, err := platform.LoadSettings(s.SiteSettings)
		if err == nil {
			site.MaxMemory = cmp.Or(site.MaxMemory, int64(s.MemoryMB)<<20)
			site.Traffic = placement.Traffic{Zone: s.ZoneTrafficCost, Region: s.RegionTrafficCost}
		}
		return site, err
	}
	site, err := load()
	if err != nil {
		return nil, resources.Limits{}, fmt.Errorf("%w: %w", errSettings, err)
	}
	n, err := member.New(site, member.Platform{
		Store: platform.NewStore(site.StoreAddress), Headers: platform.Headers(), LoadSettings: load, Reload: reload,
	}, log)
	return n, site.Limits(), err
}

// errSettings is wrapped by the errors of the site settings. The process then exits with exitUsage, as for an invalid
// flag.
var errSettings = errors.New("invalid settings")

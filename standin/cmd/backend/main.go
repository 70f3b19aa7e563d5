// Command backend runs a fake backend server with faults that are switched at run time.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/standin/backend"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Listen      string        `long:"listen" description:"address for requests" default:"127.0.0.1:0"`
	Admin       string        `long:"admin" description:"address for switching faults and reading counts" default:"127.0.0.1:0"`
	ID          string        `long:"id" description:"id reported in the header X-Backend-Id" default:"backend"`
	Slots       int           `long:"slots" description:"requests served at the same time" default:"3"`
	ServiceTime time.Duration `long:"service-time" description:"time of a request that does not name one" default:"5ms"`
	HealthTime  time.Duration `long:"health-time" description:"time that the health endpoint takes" default:"25ms"`
	ColdFor     time.Duration `long:"cold-for" description:"time after the start in which requests are slow"`
	ColdFactor  float64       `long:"cold-factor" description:"factor on service times while cold" default:"5"`
	RunLog      string        `long:"run-log" description:"file to which runs are appended"`
	StopTimeout time.Duration `long:"stop-timeout" description:"time for requests in progress after SIGTERM" default:"30s"`

	Stall          bool     `long:"stall" description:"accept requests and do not answer them"`
	SlowFactor     float64  `long:"slow-factor" description:"factor on service times"`
	FailPercent    int      `long:"fail-percent" description:"share of requests answered with 500"`
	FailCallers    []string `long:"fail-caller" description:"caller whose requests fail; may be given several times"`
	Refuse         bool     `long:"refuse" description:"refuse connections"`
	Health         string   `long:"health" description:"report of the health endpoint: empty for the truth, ok or fail"`
	CrashToken     string   `long:"crash-token" description:"token that ends the process when a request carries it"`
	Cut            string   `long:"cut" description:"cut responses off: length or chunked"`
	CutPercent     int      `long:"cut-percent" description:"share of responses that are cut off; 0 means all"`
	BytesPerSecond int64    `long:"bytes-per-second" description:"rate of response bodies"`
	Shed           bool     `long:"shed" description:"answer all requests with 503"`
	Drain          bool     `long:"drain" description:"answer new requests with 503 and fail the health endpoint"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	rest, err := flags.NewParser(&o, flags.Default).ParseArgs(args)
	if flagsErr := (*flags.Error)(nil); errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return 0
	}
	if err != nil || len(rest) > 0 {
		return exitUsage
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	server, err := backend.New(o.settings(logger))
	if err != nil {
		logger.Error("create backend server", "error", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := server.Start(); err != nil {
		logger.Error("start backend server", "error", err)
		return exitFailure
	}
	fmt.Printf("listening on %s, admin on %s\n", server.Address(), server.AdminAddress())
	<-ctx.Done()
	waitCtx, cancel := context.WithTimeout(context.Background(), o.StopTimeout)
	defer cancel()
	if err := server.Stop(waitCtx); err != nil {
		logger.Error("stop backend server", "error", err)
		return exitFailure
	}
	return 0
}

func (o *options) settings(logger *slog.Logger) backend.Settings {
	return backend.Settings{
		Listen:      o.Listen,
		Admin:       o.Admin,
		ID:          o.ID,
		Slots:       o.Slots,
		ServiceTime: o.ServiceTime,
		HealthTime:  o.HealthTime,
		ColdFor:     o.ColdFor,
		ColdFactor:  o.ColdFactor,
		RunLog:      o.RunLog,
		Logger:      logger,
		Faults: backend.Faults{
			Stall:          o.Stall,
			SlowFactor:     o.SlowFactor,
			FailPercent:    o.FailPercent,
			FailCallers:    o.FailCallers,
			Refuse:         o.Refuse,
			Health:         o.Health,
			CrashToken:     o.CrashToken,
			Cut:            o.Cut,
			CutPercent:     o.CutPercent,
			BytesPerSecond: o.BytesPerSecond,
			Shed:           o.Shed,
			Drain:          o.Drain,
		},
	}
}

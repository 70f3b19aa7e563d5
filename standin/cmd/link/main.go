// Command link runs a faulty network link.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/standin/link"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Listen string  `long:"listen" description:"address to listen on" default:"127.0.0.1:0"`
	To     string  `long:"to" description:"address to forward to" required:"true"`
	Admin  string  `long:"admin" description:"address for switching conditions" default:"127.0.0.1:0"`
	Delay  float64 `long:"delay-ms" description:"one-way delay in milliseconds"`
	Jitter float64 `long:"jitter-ms" description:"largest random addition to the delay"`
	Lose   string  `long:"lose" description:"direction whose bytes are swallowed: to-server, to-client or both"`
	Refuse bool    `long:"refuse" description:"refuse connections"`
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
	l, err := link.New(link.Settings{
		Listen:     o.Listen,
		To:         o.To,
		Admin:      o.Admin,
		Conditions: link.Conditions{DelayMS: o.Delay, JitterMS: o.Jitter, Lose: o.Lose, Refuse: o.Refuse},
		Logger:     logger,
	})
	if err != nil {
		logger.Error("create link", "error", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := l.Start(); err != nil {
		logger.Error("start link", "error", err)
		return exitFailure
	}
	fmt.Printf("listening on %s, admin on %s\n", l.Address(), l.AdminAddress())
	if err := l.Wait(ctx); err != nil {
		logger.Error("stop link", "error", err)
		return exitFailure
	}
	return 0
}

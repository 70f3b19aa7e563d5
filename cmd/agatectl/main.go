// Command agatectl checks and compares configuration documents, shows the status and the decisions of nodes, and
// generates load.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"agatepulley.example/agatepulley/pkg/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

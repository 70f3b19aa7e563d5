package ctl

import (
	"errors"
	"fmt"
	"time"

	"agatepulley.example/agatepulley/pkg/load"
)

const loadHelp = `Sends requests at a constant rate, whether or not earlier ones have ended, and reports the outcomes and ` +
	`the latencies from the intended start of each request. Targets must be loopback addresses unless --allow-remote ` +
	`is given. The command fails if a response was wrong.

A request is given as "WEIGHT METHOD URI [OPTION...]" with the options keyed (send an idempotency key), ` +
	`resend=PERCENT (send again with the same key through the next target), repeatable, body=BYTES, deadline=MS, ` +
	`name=TEXT, and check (compare the response with that of the backend server stand-in; the URI must name bytes=N).

Example: agatectl load --target 127.0.0.1:7000 --rate 200 --request "9 GET /status?bytes=500 check" ` +
	`--request "1 POST /charges?bytes=100 keyed resend=10 check"`

var errWrongResponses = errors.New("wrong responses")

type loadCommand struct {
	env         *environment
	Targets     []string      `long:"target" description:"address of a node for callers (IP:PORT); may be given several times" required:"yes"`
	Requests    []string      `long:"request" description:"kind of request in the mix; may be given several times" required:"yes"`
	Rate        float64       `long:"rate" description:"requests per second over all targets" default:"100"`
	Duration    time.Duration `long:"duration" description:"length of the run" default:"10s"`
	Count       int           `long:"count" description:"largest number of requests; 0 means no limit"`
	Timeout     time.Duration `long:"timeout" description:"time limit of each request" default:"10s"`
	Retries     int           `long:"retries" description:"further sendings of a request that was not run or whose target was unreachable" default:"0"`
	MaxInFlight int           `long:"max-in-flight" description:"largest number of requests in flight" default:"4096"`
	Seed        uint64        `long:"seed" description:"seed of the sequence of requests" default:"1"`
	AllowRemote bool          `long:"allow-remote" description:"permit targets that are not loopback addresses"`
	JSON        bool          `long:"json" description:"print the report as JSON"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	plan, err := c.plan()
	if err != nil {
		return &UsageError{Err: err}
	}
	report, err := load.Run(c.env.ctx, plan, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		err = report.WriteJSON(c.env.stdout)
	} else {
		err = report.WriteTable(c.env.stdout)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if wrong := report.Total.Counts.Wrong; wrong > 0 {
		return fmt.Errorf("%d of %d requests: %w", wrong, report.Total.Counts.Sent, errWrongResponses)
	}
	return nil
}

func (c *loadCommand) plan() (load.Plan, error) {
	plan := load.Plan{
		Targets:     c.Targets,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Count:       c.Count,
		Timeout:     c.Timeout,
		Retries:     c.Retries,
		MaxInFlight: c.MaxInFlight,
		Seed:        c.Seed,
		AllowRemote: c.AllowRemote,
	}
	for _, text := range c.Requests {
		kind, err := load.ParseKind(text)
		if err != nil {
			return plan, err
		}
		plan.Mix = append(plan.Mix, kind)
	}
	return plan, plan.Validate()
}

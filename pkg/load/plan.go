// Package load is an open-loop load generator: requests start at a constant rate, whether or not earlier ones have
// ended, and latencies count from the intended start. A stalled server therefore increases the latencies instead of
// reducing the rate.
package load

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Limits that keep a run bounded.
const (
	MaxRate     = 50_000 // requests per second
	MaxDuration = time.Hour
	MaxCount    = 10_000_000 // requests

	DefaultTimeout     = 10 * time.Second
	DefaultMaxInFlight = 4096
)

// Kind is one kind of request in the mix.
type Kind struct {
	Name string `json:"name"`
	// Weight is the share of the kind relative to the other kinds.
	Weight int    `json:"weight"`
	Method string `json:"method"`
	// URI is the path and query. The query bytes=N is the expected length of a checked response.
	URI string `json:"uri"`
	// BodyBytes is the length of the request body.
	BodyBytes int `json:"body_bytes,omitempty"`
	// Keyed sends an idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// ResendPercent is the share of keyed requests that are sent again with the same key through another target.
	ResendPercent int `json:"resend_percent,omitempty"`
	// Repeatable says that a request may run more than once. Run does not use it; it is for the function that observes the
	// results.
	Repeatable bool `json:"repeatable,omitempty"`
	// DeadlineMS is sent as the deadline of the request; zero sends none.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// Header holds further request headers.
	Header http.Header `json:"header,omitempty"`
	// Check compares the response body with the one that package pattern generates for the request.
	Check bool `json:"check,omitempty"`
}

// Plan describes a run.
type Plan struct {
	// Targets are the addresses (IP:PORT) of the nodes, used in turn.
	Targets []string `json:"targets"`
	// Rate is the number of requests started per second, over all targets.
	Rate float64 `json:"rate"`
	// Duration is the length of the run and Count the largest number of requests; the run ends at whichever is reached
	// first. A zero Count means no limit.
	Duration time.Duration `json:"duration"`
	Count    int           `json:"count"`
	Mix      []Kind        `json:"mix"`
	// Timeout bounds each request.
	Timeout time.Duration `json:"timeout"`
	// Retries is the largest number of times that a request that was not run, or whose target could not be reached, is
	// sent again through the next target. This is safe for any request, because it has not run.
	Retries int `json:"retries,omitempty"`
	// MaxInFlight bounds the requests in flight. At the bound, starts are delayed; the delay counts as latency.
	MaxInFlight int `json:"max_in_flight"`
	// Seed makes the sequence of kinds reproducible.
	Seed uint64 `json:"seed"`
	// AllowRemote permits targets that are not loopback addresses.
	AllowRemote bool `json:"allow_remote,omitempty"`
	// IDPrefix makes the keys, tokens and check values of the run differ from those of other runs. Run chooses a random
	// prefix if it is empty.
	IDPrefix string `json:"id_prefix,omitempty"`
}

// ParseKind reads a kind from text such as "3 POST /charges?bytes=100 keyed resend=10 body=200 deadline=500 check". The
// weight, the method and the URI are required.
func ParseKind(text string) (Kind, error) {
	fields := strings.Fields(text)
	if len(fields) < 3 {
		return Kind{}, fmt.Errorf("request %q: want WEIGHT METHOD URI [OPTION...]", text)
	}
	weight, err := strconv.Atoi(fields[0])
	if err != nil {
		return Kind{}, fmt.Errorf("request %q: weight %q: want a whole number", text, fields[0])
	}
	kind := Kind{Name: fields[1] + " " + fields[2], Weight: weight, Method: fields[1], URI: fields[2]}
	for _, option := range fields[3:] {
		if err := kind.parseOption(option); err != nil {
			return Kind{}, fmt.Errorf("request %q: %w", text, err)
		}
	}
	return kind, nil
}

func (k *Kind) parseOption(option string) error {
	name, value, hasValue := strings.Cut(option, "=")
	switch name {
	case "keyed":
		k.Keyed = true
		return nil
	case "check":
		k.Check = true
		return nil
	case "repeatable":
		k.Repeatable = true
		return nil
	case "name":
		k.Name = value
		return nil
	}
	numbers := map[string]*int{"resend": &k.ResendPercent, "body": &k.BodyBytes, "deadline": &k.DeadlineMS}
	number, known := numbers[name]
	if !known || !hasValue {
		return fmt.Errorf("option %q: want keyed, check, repeatable, name=TEXT, resend=PERCENT, body=BYTES or deadline=MS", option)
	}
	parsed, err := strconv.Atoi(value)
	if err != nil {
		return fmt.Errorf("option %q: want a whole number", option)
	}
	*number = parsed
	return nil
}

// withDefaults returns the plan with its defaults filled in.
func (p Plan) withDefaults() Plan {
	if p.Timeout == 0 {
		p.Timeout = DefaultTimeout
	}
	if p.MaxInFlight == 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	return p
}

// Validate returns all errors of the plan, joined, or nil.
func (p *Plan) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(len(p.Targets) > 0, "targets: want at least one")
	require(p.Rate > 0 && p.Rate <= MaxRate, "rate %g: want more than 0 and at most %d requests per second", p.Rate, MaxRate)
	require(p.Duration > 0 && p.Duration <= MaxDuration, "duration %v: want more than 0 and at most %v", p.Duration, MaxDuration)
	require(p.Count >= 0 && p.Count <= MaxCount, "count %d: want 0 to %d", p.Count, MaxCount)
	require(p.Timeout >= 0, "timeout %v: want 0 or more", p.Timeout)
	require(p.MaxInFlight >= 0, "requests in flight %d: want 0 or more", p.MaxInFlight)
	require(p.Retries >= 0, "retries %d: want 0 or more", p.Retries)
	require(len(p.Mix) > 0, "requests: want at least one kind")
	for _, target := range p.Targets {
		errs = append(errs, checkTarget(target, p.AllowRemote))
	}
	for i := range p.Mix {
		errs = append(errs, p.Mix[i].validate())
	}
	return errors.Join(errs...)
}

func (k *Kind) validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("request %q: "+format, append([]any{k.Name}, args...)...))
		}
	}
	parsed, err := url.ParseRequestURI(k.URI)
	require(err == nil && strings.HasPrefix(k.URI, "/"), "URI %q: want a path that starts with /", k.URI)
	require(k.Weight > 0, "weight %d: want more than 0", k.Weight)
	require(k.Method != "", "method: want one")
	require(k.BodyBytes >= 0, "body of %d bytes: want 0 or more", k.BodyBytes)
	require(k.ResendPercent >= 0 && k.ResendPercent <= 100, "resend %d: want 0 to 100 percent", k.ResendPercent)
	require(k.ResendPercent == 0 || k.Keyed, "resend: only keyed requests are sent again")
	if err == nil && k.Check {
		_, err := strconv.ParseInt(parsed.Query().Get("bytes"), 10, 64)
		require(err == nil, "check: the query must name the expected length as bytes=N")
	}
	return errors.Join(errs...)
}

func checkTarget(target string, allowRemote bool) error {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q: want IP:PORT", target)
	}
	if !allowRemote && !address.Addr().IsLoopback() {
		return fmt.Errorf("target %q: not a loopback address; --allow-remote permits it", target)
	}
	return nil
}

// expectedBytes returns the length of a checked response, which the query of the URI names.
func (k *Kind) expectedBytes() int64 {
	parsed, err := url.ParseRequestURI(k.URI)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(parsed.Query().Get("bytes"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// isDialError reports whether an error means that no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

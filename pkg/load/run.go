package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/load/pattern"
)

// HeaderToken identifies one attempt of a request. Two attempts with the same key have different tokens.
const HeaderToken = "X-Request-Token"

// HeaderBackend names the backend server that answered.
const HeaderBackend = "X-Backend-Id"

const (
	firstErrorStatus = 400
	dialTimeout      = 2 * time.Second
	idleTimeout      = 10 * time.Second
	// maxDiscardBytes bounds how much of an unchecked response body is read.
	maxDiscardBytes = 1 << 30
)

// Run sends the requests of a plan and returns the report. The function observe, if not nil, is called with each result,
// from several goroutines. When ctx ends, no further requests are started and those in flight are cancelled.
func Run(ctx context.Context, plan Plan, observe func(Result)) (*Report, error) {
	if err := plan.Validate(); err != nil {
		return nil, fmt.Errorf("load plan: %w", err)
	}
	plan = plan.withDefaults()
	if plan.IDPrefix == "" {
		plan.IDPrefix = strconv.FormatUint(rand.Uint64(), 36)
	}
	g := newGenerator(&plan, observe)
	defer g.transport.CloseIdleConnections()
	notSent := g.generate(ctx)
	g.requests.Wait()
	return g.collector.report(time.Since(g.startTime), notSent), nil
}

type generator struct {
	plan        *Plan
	observe     func(Result)
	collector   *collector
	transport   *http.Transport
	client      *http.Client
	random      *rand.Rand
	totalWeight int
	startTime   time.Time
	// inFlight limits the requests in flight: each one holds an element until it ends.
	inFlight chan struct{}
	requests sync.WaitGroup
}

// plannedRequest is one logical request with the target of its next attempt.
type plannedRequest struct {
	// kind and target are indexes of Plan.Mix and Plan.Targets.
	kind   int
	number int
	// start is the time from the start of the run to the intended start of the request.
	start  time.Duration
	target int
	// resend says that the request is to be sent again with the same key, isResend that this is the repetition.
	resend   bool
	isResend bool
	// attempts is the number of earlier attempts, which makes tokens unique.
	attempts int
}

func newGenerator(plan *Plan, observe func(Result)) *generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: plan.MaxInFlight,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	g := &generator{
		plan:      plan,
		observe:   observe,
		collector: newCollector(plan.Mix),
		transport: transport,
		client:    &http.Client{Transport: transport, Timeout: plan.Timeout, CheckRedirect: noRedirect},
		random:    rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		inFlight:  make(chan struct{}, plan.MaxInFlight),
	}
	for i := range plan.Mix {
		g.totalWeight += plan.Mix[i].Weight
	}
	return g
}

// noRedirect makes the client return a redirect response instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// generate starts the requests and returns the number of planned ones that were not started.
func (g *generator) generate(ctx context.Context) int {
	g.startTime = time.Now()
	planned := int(g.plan.Rate * g.plan.Duration.Seconds())
	if g.plan.Count > 0 {
		planned = min(planned, g.plan.Count)
	}
	end := time.NewTimer(g.plan.Duration)
	defer end.Stop()
	for number := range planned {
		p := g.planRequest(number)
		if !g.waitForStart(ctx, p.start, end.C) {
			return planned - number
		}
		g.requests.Go(func() {
			defer func() { <-g.inFlight }()
			g.sendAll(ctx, p)
		})
	}
	return 0
}

func (g *generator) planRequest(number int) plannedRequest {
	p := plannedRequest{
		number: number,
		start:  time.Duration(float64(number) / g.plan.Rate * float64(time.Second)),
		target: number % len(g.plan.Targets),
	}
	pick := g.random.IntN(g.totalWeight)
	for pick >= g.plan.Mix[p.kind].Weight {
		pick -= g.plan.Mix[p.kind].Weight
		p.kind++
	}
	p.resend = g.random.IntN(100) < g.plan.Mix[p.kind].ResendPercent
	return p
}

// waitForStart waits for the intended start and until fewer requests than the limit are in flight. It returns false at
// the end of the run.
func (g *generator) waitForStart(ctx context.Context, start time.Duration, end <-chan time.Time) bool {
	if wait := start - time.Since(g.startTime); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	select {
	case g.inFlight <- struct{}{}:
		return true
	case <-end:
		return false
	case <-ctx.Done():
		return false
	}
}

// sendAll sends a request and, if it is to be resent, sends it again with the same key through the next target.
func (g *generator) sendAll(ctx context.Context, p plannedRequest) {
	g.sendUntilFinal(ctx, &p)
	if !p.resend {
		return
	}
	p.target = (p.target + 1) % len(g.plan.Targets)
	p.start = time.Since(g.startTime)
	p.isResend = true
	g.sendUntilFinal(ctx, &p)
}

// sendUntilFinal sends a request and retries it through the next target while it was not run and retries remain.
func (g *generator) sendUntilFinal(ctx context.Context, p *plannedRequest) {
	for retries := g.plan.Retries; ; retries-- {
		result := g.send(ctx, *p)
		p.attempts++
		retry := result.Category == NotRun || result.Category == Unreachable
		result.Final = !retry || retries <= 0 || ctx.Err() != nil
		g.record(*p, &result)
		if result.Final {
			return
		}
		p.target = (p.target + 1) % len(g.plan.Targets)
	}
}

func (g *generator) record(p plannedRequest, result *Result) {
	g.collector.add(p.kind, result)
	if g.observe != nil {
		g.observe(*result)
	}
}

func (g *generator) send(ctx context.Context, p plannedRequest) Result {
	kind := &g.plan.Mix[p.kind]
	result := Result{Kind: kind, Target: g.plan.Targets[p.target], Resent: p.isResend, Start: p.start}
	id := fmt.Sprintf("%s-%d", g.plan.IDPrefix, p.number)
	if kind.Keyed {
		result.Key = "key-" + id
	}
	result.Token = fmt.Sprintf("token-%s-%d", id, p.attempts)
	body := requestBody(kind, id)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.Connections++ }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), kind, &result, id, body)
	if err != nil {
		result.Category, result.Err = NotRun, err
		return result
	}
	g.exchange(request, &result, id, body)
	result.Latency = time.Since(g.startTime) - p.start
	return result
}

func requestBody(kind *Kind, id string) []byte {
	if kind.BodyBytes == 0 {
		return nil
	}
	text := []byte(id + " ")
	return bytes.Repeat(text, kind.BodyBytes/len(text)+1)[:kind.BodyBytes]
}

func newRequest(ctx context.Context, kind *Kind, result *Result, id string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+result.Target+kind.URI, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	for name, values := range kind.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderToken, result.Token)
	request.Header.Set(pattern.HeaderCheck, id)
	if kind.Keyed {
		request.Header.Set(outcome.HeaderKey, result.Key)
	}
	if kind.DeadlineMS > 0 {
		request.Header.Set(outcome.HeaderDeadline, strconv.Itoa(kind.DeadlineMS))
	}
	return request, nil
}

func (g *generator) exchange(request *http.Request, result *Result, id string, body []byte) {
	response, err := g.client.Do(request)
	if err != nil {
		result.Err = err
		result.Category = Unknown
		if isDialError(err) {
			result.Category = Unreachable
		}
		return
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Backend = response.Header.Get(HeaderBackend)
	result.Reason = response.Header.Get(outcome.HeaderReason)
	switch outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun:
		result.Category = NotRun
	case outcome.Unknown:
		result.Category = Unknown
	case outcome.Duplicate:
		result.Category = Duplicate
	default:
		g.verify(response, result, id, body)
		return
	}
	// The body only repeats the outcome of the headers as text.
	_, result.Err = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
}

// verify reads the response of a backend server and determines whether it is complete and belongs to this request.
func (g *generator) verify(response *http.Response, result *Result, id string, body []byte) {
	kind := result.Kind
	result.Category = Answered
	if !kind.Check || response.StatusCode >= firstErrorStatus {
		result.Bytes, result.Err = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
		if result.Err != nil {
			result.Category = bodyErrorCategory(result.Err)
		}
		return
	}
	if echoed := response.Header.Get(pattern.HeaderCheck); echoed != id {
		result.Category = Wrong
		result.Err = fmt.Errorf("header %s: got %q, want %q", pattern.HeaderCheck, echoed, id)
		return
	}
	seed := pattern.Seed(kind.Method, kind.URI, id, body)
	result.Bytes, result.Err = pattern.Verify(response.Body, seed, kind.expectedBytes())
	switch {
	case errors.Is(result.Err, pattern.ErrShort), errors.Is(result.Err, pattern.ErrWrong):
		result.Category = Wrong
	case result.Err != nil:
		result.Category = bodyErrorCategory(result.Err)
	}
}

// bodyErrorCategory returns the category for an error while the response body is read: Unknown if the generator itself
// stopped reading because of its timeout or a cancellation, and otherwise Cut.
func bodyErrorCategory(err error) Category {
	var timeout net.Error
	if errors.Is(err, context.Canceled) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return Unknown
	}
	return Cut
}

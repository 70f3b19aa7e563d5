package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agatepulley.example/agatepulley/pkg/load/pattern"
)

// Header names of requests and responses.
const (
	HeaderBackendID  = "X-Backend-Id"
	HeaderCaller     = "X-Caller"
	HeaderToken      = "X-Request-Token"
	HeaderKey        = "Idempotency-Key"
	HeaderCrashToken = "X-Crash-Token"
	HeaderDeadline   = "Agatepulley-Deadline-Ms"
)

const (
	pathHealth      = "/health"
	pathDownload    = "/download"
	maxRequestBody  = 64 << 20
	maxResponseBody = 1 << 30
	chunkSize       = 16 << 10
	retryAfter      = "1"
)

// work is what a request asks for.
type work struct {
	duration time.Duration
	bytes    int64
	chunked  bool
	// paced spreads the duration over the body instead of waiting before the first byte.
	paced bool
	seed  uint64
}

// serveWork serves the health endpoint and requests. Each path and method is accepted. The query names the work:
// ms (service time), bytes (length of the response body), chunked=1 (no content length).
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	w.Header().Set(HeaderBackendID, s.settings.ID)
	if r.URL.Path == pathHealth {
		s.serveHealth(w, r, faults)
		return
	}
	s.requests.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		s.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if carriesToken(r, body, faults.CrashToken) {
		s.logger.Error("crash token received", "token", faults.CrashToken)
		s.settings.Exit(exitCrash)
		return
	}
	if s.rejects(w, r, faults) {
		return
	}
	defer s.busy.Add(-1)
	s.execute(w, r, body, faults)
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request, faults Faults) {
	if !sleep(r.Context(), s.settings.HealthTime) {
		return
	}
	healthy := !faults.Drain && !s.cold()
	switch faults.Health {
	case HealthOK:
		healthy = true
	case HealthFail:
		healthy = false
	}
	if !healthy {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// rejects answers requests that do not run. For the others it takes a slot.
func (s *Server) rejects(w http.ResponseWriter, r *http.Request, faults Faults) bool {
	busy := s.busy.Add(1)
	if faults.Drain {
		w.Header().Set("Connection", "close")
	}
	if faults.Shed || faults.Drain || busy > int64(s.settings.Slots) {
		s.busy.Add(-1)
		s.shed.Add(1)
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return true
	}
	s.notePeak(busy)
	fails := faults.failsFor(r.Header.Get(HeaderCaller), r.RemoteAddr)
	if fails || hit(s.failCount.Add(1), faults.FailPercent) {
		s.busy.Add(-1)
		s.failed.Add(1)
		http.Error(w, "internal error", http.StatusInternalServerError)
		return true
	}
	return false
}

func (s *Server) notePeak(busy int64) {
	for {
		peak := s.maxBusy.Load()
		if busy <= peak || s.maxBusy.CompareAndSwap(peak, busy) {
			return
		}
	}
}

// execute runs a request and answers it. The run is recorded before the work starts, because work that was cancelled or
// killed may have had its effect.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, body []byte, faults Faults) {
	job, err := s.parse(r, body, faults)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	event := runEvent{Key: r.Header.Get(HeaderKey), Token: r.Header.Get(HeaderToken)}
	if err := s.runs.record(event); err != nil {
		s.logger.Error("record run", "error", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.perform(ctx, job) {
		s.abandon(w, ctx)
		return
	}
	event.Finished = true
	if err := s.runs.record(event); err != nil {
		s.logger.Error("record end of run", "error", err)
	}
	s.respond(ctx, w, r, job, faults)
}

func (s *Server) parse(r *http.Request, body []byte, faults Faults) (work, error) {
	query := r.URL.Query()
	job := work{
		duration: s.settings.ServiceTime,
		chunked:  query.Get("chunked") == "1" || faults.Cut == CutChunked,
		paced:    strings.HasPrefix(r.URL.Path, pathDownload),
		seed:     pattern.Seed(r.Method, r.URL.RequestURI(), r.Header.Get(pattern.HeaderCheck), body),
	}
	if text := query.Get("ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return job, fmt.Errorf("query ms=%q: want milliseconds", text)
		}
		job.duration = time.Duration(ms * float64(time.Millisecond))
	}
	if text := query.Get("bytes"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maxResponseBody {
			return job, fmt.Errorf("query bytes=%q: want 0 to %d", text, maxResponseBody)
		}
		job.bytes = n
	}
	if faults.SlowFactor > 0 {
		job.duration = time.Duration(float64(job.duration) * faults.SlowFactor)
	}
	if s.cold() && s.settings.ColdFactor > 0 {
		job.duration = time.Duration(float64(job.duration) * s.settings.ColdFactor)
	}
	return job, nil
}

// perform spends the service time and returns false if the request was cancelled or expired.
func (s *Server) perform(ctx context.Context, job work) bool {
	if !s.waitWhileStalled(ctx) {
		return false
	}
	if job.paced {
		return ctx.Err() == nil
	}
	return sleep(ctx, job.duration)
}

func (s *Server) waitWhileStalled(ctx context.Context) bool {
	for {
		s.mu.Lock()
		stalled, changed := s.faults.Stall, s.unstall
		s.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) abandon(w http.ResponseWriter, ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.expired.Add(1)
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.cancelled.Add(1)
	// Without the abort, net/http would send an empty response with status 200.
	panic(http.ErrAbortHandler)
}

func (s *Server) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, job work, faults Faults) {
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	if check := r.Header.Get(pattern.HeaderCheck); check != "" {
		header.Set(pattern.HeaderCheck, check)
	}
	if !job.chunked {
		header.Set("Content-Length", strconv.FormatInt(job.bytes, 10))
	}
	length := job.bytes
	cut := faults.Cut != CutNone && (faults.CutPercent == 0 || hit(s.cutCount.Add(1), faults.CutPercent))
	if cut {
		length /= 2
	}
	if r.Method == http.MethodHead {
		length = 0
	}
	if !s.send(ctx, w, job, length, faults.BytesPerSecond) || cut {
		// The server then closes the connection without the rest of the body or the last chunk.
		panic(http.ErrAbortHandler)
	}
	s.answered.Add(1)
}

// send writes the first length bytes of the body at the requested pace.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, job work, length, rate int64) bool {
	controller := http.NewResponseController(w)
	body := io.LimitReader(pattern.NewReader(job.seed, job.bytes), length)
	chunk := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(body, chunk)
		if n == 0 {
			break
		}
		if !sleep(ctx, pause(job, int64(n), rate)) {
			s.cancelled.Add(1)
			return false
		}
		if _, writeErr := io.Copy(w, bytes.NewReader(chunk[:n])); writeErr != nil {
			s.cancelled.Add(1)
			return false
		}
		if job.paced || rate > 0 {
			if controller.Flush() != nil {
				s.cancelled.Add(1)
				return false
			}
		}
		if err != nil {
			break
		}
	}
	return controller.Flush() == nil || length == 0
}

// pause returns the time to wait before n bytes of the body are sent.
func pause(job work, n, rate int64) time.Duration {
	var wait time.Duration
	if job.paced && job.bytes > 0 {
		wait = time.Duration(float64(job.duration) * float64(n) / float64(job.bytes))
	}
	if rate > 0 {
		wait = max(wait, time.Duration(n)*time.Second/time.Duration(rate))
	}
	return wait
}

func carriesToken(r *http.Request, body []byte, token string) bool {
	if token == "" {
		return false
	}
	return r.Header.Get(HeaderCrashToken) == token ||
		strings.Contains(r.URL.RawQuery, token) ||
		bytes.Contains(body, []byte(token))
}

// withDeadline limits the request's context by the deadline header, if it has one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// sleep waits and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

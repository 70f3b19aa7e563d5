// Package configservice is a stand-in for the platform's configuration service: it serves values that can be read and
// watched, counts the calls, and fails on demand. The protocol is described in docs/platform.md.
//
// It uses net/http and not hertz, because a pending watch has to end as soon as its caller disconnects, which net/http
// reports through the request's context.
package configservice

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"agatepulley.example/agatepulley/standin/jsonhttp"
)

// MaxValue is the largest accepted value in bytes.
const MaxValue = 1 << 20

// maxWait bounds a watch.
const maxWait = 60 * time.Second

// Fault makes the service misbehave. The zero value is a healthy service.
type Fault struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// StaleAt, if not zero, makes the service answer as it would have at that revision.
	StaleAt uint64 `json:"stale_at"`
	// SlowMS delays every call.
	SlowMS int `json:"slow_ms"`
}

// Counts holds the number of calls by kind since the last reset.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	// Pending is the number of watches that are waiting now.
	Pending int `json:"pending"`
	// Refused is the number of calls that failed because the service was down.
	Refused uint64 `json:"refused"`
}

type entry struct {
	revision uint64
	data     []byte
}

// Service holds the values with their history. It is safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	revision uint64
	values   map[string][]entry
	fault    Fault
	counts   Counts
	// changed is closed and replaced at every change of a value or of the fault.
	changed chan struct{}
}

// New returns an empty service.
func New() *Service {
	return &Service{values: make(map[string][]entry), changed: make(chan struct{})}
}

// Put stores a value and returns its revision. Revisions increase by one with each change of any value.
func (s *Service) Put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.values[key] = append(s.values[key], entry{revision: s.revision, data: append([]byte(nil), data...)})
	s.wake()
	return s.revision
}

// SetFault replaces the fault.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// Counts returns the number of calls by kind.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ResetCounts sets the counted calls to zero.
func (s *Service) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counts{Pending: s.counts.Pending}
}

// Handler returns the protocol and the admin endpoints.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", s.serveValue)
	mux.HandleFunc("GET /v1/watch/{key...}", s.serveWatch)
	mux.HandleFunc("PUT /admin/values/{key...}", s.servePut)
	mux.HandleFunc("GET /admin/fault", s.serveGetFault)
	mux.HandleFunc("PUT /admin/fault", s.servePutFault)
	mux.HandleFunc("GET /admin/counts", s.serveCounts)
	mux.HandleFunc("DELETE /admin/counts", s.serveResetCounts)
	return mux
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call and applies the delay. It returns false if the call has been answered with an error.
func (s *Service) begin(w http.ResponseWriter, r *http.Request, counter *uint64) bool {
	s.mu.Lock()
	*counter++
	slow := time.Duration(s.fault.SlowMS) * time.Millisecond
	s.mu.Unlock()
	if slow > 0 && !sleep(r, slow) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refuse(w)
}

// refuse answers with an error while the service is down.
func (s *Service) refuse(w http.ResponseWriter) bool {
	if !s.fault.Down {
		return false
	}
	s.counts.Refused++
	http.Error(w, "configuration service is down", http.StatusServiceUnavailable)
	return true
}

// lookup returns the value of a key, as of the stale revision if that fault is set.
func (s *Service) lookup(key string) (entry, bool) {
	history := s.values[key]
	for i := len(history) - 1; i >= 0; i-- {
		if s.fault.StaleAt == 0 || history[i].revision <= s.fault.StaleAt {
			return history[i], true
		}
	}
	return entry{}, false
}

func (s *Service) serveValue(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r, &s.counts.Reads) {
		return
	}
	s.mu.Lock()
	value, ok := s.lookup(r.PathValue("key"))
	s.mu.Unlock()
	writeValue(w, value, ok)
}

func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || waitMS < 0 {
		http.Error(w, "wait_ms: not a number of 0 or more", http.StatusBadRequest)
		return
	}
	if !s.begin(w, r, &s.counts.Watches) {
		return
	}
	s.wait(w, r, after, min(time.Duration(waitMS)*time.Millisecond, maxWait))
}

// wait answers a watch once the revision of the key differs from after, or with 304 when the time is over. A lower
// revision answers it too: that is how a reader learns that the service became stale.
func (s *Service) wait(w http.ResponseWriter, r *http.Request, after uint64, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	s.addPending(1)
	defer s.addPending(-1)
	for {
		s.mu.Lock()
		if s.refuse(w) {
			s.mu.Unlock()
			return
		}
		value, ok := s.lookup(r.PathValue("key"))
		changed := s.changed
		s.mu.Unlock()
		if ok && value.revision != after {
			writeValue(w, value, true)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeUnchanged(w, value, ok)
			return
		}
	}
}

func (s *Service) addPending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Pending += n
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	jsonhttp.Write(w, map[string]uint64{"revision": s.Put(r.PathValue("key"), data)})
}

func (s *Service) serveGetFault(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	jsonhttp.Write(w, fault)
}

func (s *Service) servePutFault(w http.ResponseWriter, r *http.Request) {
	jsonhttp.Take(w, r, "fault", s.SetFault)
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, s.Counts())
}

func (s *Service) serveResetCounts(w http.ResponseWriter, _ *http.Request) {
	s.ResetCounts()
	w.WriteHeader(http.StatusNoContent)
}

func writeValue(w http.ResponseWriter, value entry, ok bool) {
	if !ok {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	w.Header().Set("X-Revision", fmt.Sprint(value.revision))
	w.Header().Set("Content-Type", "application/octet-stream")
	// A failed write means that the caller is gone.
	_, _ = w.Write(value.data)
}

func writeUnchanged(w http.ResponseWriter, value entry, ok bool) {
	if !ok {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	w.Header().Set("X-Revision", fmt.Sprint(value.revision))
	w.WriteHeader(http.StatusNotModified)
}

// sleep returns false if the caller disconnects before the time is over.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

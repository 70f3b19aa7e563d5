// Package hostlist is a stand-in for the platform's list of live and leaving hosts, which lags behind the truth. The
// protocol is described in docs/platform.md.
package hostlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"agatepulley.example/agatepulley/standin/jsonhttp"
)

// maxWait bounds a watch.
const maxWait = 60 * time.Second

// Host is an entry of the list.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// States of a host.
const (
	Live    = "live"
	Leaving = "leaving"
)

// List is one revision of the whole list.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Fault makes the list misbehave. The zero value is a healthy list.
type Fault struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// LagMS delays the time at which a change becomes visible.
	LagMS int `json:"lag_ms"`
}

// Service holds the list. It is safe for concurrent use.
type Service struct {
	mu sync.Mutex
	// hosts is the true list, published what readers see.
	hosts     map[string]Host
	published List
	fault     Fault
	reads     uint64
	// changed is closed and replaced when the published list or the fault changes.
	changed chan struct{}
}

// New returns an empty list.
func New() *Service {
	return &Service{hosts: make(map[string]Host), changed: make(chan struct{}), published: List{Hosts: []Host{}}}
}

// Set adds or replaces a host. The change becomes visible after the lag.
func (s *Service) Set(host Host) {
	s.change(func() { s.hosts[host.ID] = host })
}

// Remove removes a host. The change becomes visible after the lag.
func (s *Service) Remove(id string) {
	s.change(func() { delete(s.hosts, id) })
}

// SetFault replaces the fault. A new lag applies to later changes.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// Published returns the list as readers see it.
func (s *Service) Published() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published
}

// Reads returns the number of calls.
func (s *Service) Reads() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler returns the protocol and the admin endpoints.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", s.serveList)
	mux.HandleFunc("GET /v1/hosts/watch", s.serveWatch)
	mux.HandleFunc("PUT /admin/hosts/{id}", s.servePut)
	mux.HandleFunc("PUT /admin/hosts/{id}/state", s.servePutState)
	mux.HandleFunc("DELETE /admin/hosts/{id}", s.serveDelete)
	mux.HandleFunc("GET /admin/hosts", s.serveTruth)
	mux.HandleFunc("GET /admin/fault", s.serveGetFault)
	mux.HandleFunc("PUT /admin/fault", s.servePutFault)
	mux.HandleFunc("GET /admin/counts", s.serveCounts)
	return mux
}

// change applies a change to the true list and publishes a copy of the result after the lag.
func (s *Service) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	hosts := s.truth()
	lag := time.Duration(s.fault.LagMS) * time.Millisecond
	if lag <= 0 {
		s.publish(hosts)
		return
	}
	time.AfterFunc(lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(hosts)
	})
}

func (s *Service) truth() []Host {
	hosts := make([]Host, 0, len(s.hosts))
	for _, host := range s.hosts {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}

func (s *Service) publish(hosts []Host) {
	s.published = List{Revision: s.published.Revision + 1, Hosts: hosts}
	s.wake()
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the published list, or false after having answered with an error. The channel is closed at the next
// change.
func (s *Service) read(w http.ResponseWriter) (List, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Down {
		http.Error(w, "host list is down", http.StatusServiceUnavailable)
		return List{}, nil, false
	}
	return s.published, s.changed, true
}

func (s *Service) countRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
}

func (s *Service) serveList(w http.ResponseWriter, _ *http.Request) {
	s.countRead()
	if list, _, ok := s.read(w); ok {
		jsonhttp.Write(w, list)
	}
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
	s.countRead()
	s.wait(w, r, after, min(time.Duration(waitMS)*time.Millisecond, maxWait))
}

// wait answers once the revision differs from after, or with 304 when the time is over.
func (s *Service) wait(w http.ResponseWriter, r *http.Request, after uint64, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		list, changed, ok := s.read(w)
		if !ok {
			return
		}
		if list.Revision != after {
			jsonhttp.Write(w, list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	var host Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, "host: "+err.Error(), http.StatusBadRequest)
		return
	}
	host.ID = r.PathValue("id")
	if host.State == "" {
		host.State = Live
	}
	if !checkState(w, host.State) {
		return
	}
	s.Set(host)
	jsonhttp.Write(w, host)
}

func (s *Service) servePutState(w http.ResponseWriter, r *http.Request) {
	var body struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "state: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !checkState(w, body.State) {
		return
	}
	s.mu.Lock()
	host, ok := s.hosts[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	host.State = body.State
	s.Set(host)
	jsonhttp.Write(w, host)
}

func (s *Service) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveTruth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := s.truth()
	s.mu.Unlock()
	jsonhttp.Write(w, hosts)
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
	jsonhttp.Write(w, map[string]uint64{"reads": s.Reads()})
}

func checkState(w http.ResponseWriter, state string) bool {
	if state == Live || state == Leaving {
		return true
	}
	http.Error(w, `state: must be "live" or "leaving"`, http.StatusBadRequest)
	return false
}

//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time that the store takes for an answer, and pageItems the number of items in a page.
	storeAnswerTime = 4 * time.Millisecond
	pageItems       = 500
)

type item struct {
	Key              string `json:"key"`
	Value            []byte `json:"value,omitempty"`
	ModRevision      uint64 `json:"mod-revision"`
	CreationRevision uint64 `json:"creation-revision,omitempty"`
	LeaseID          uint64 `json:"lease-id"`
	Removed          bool   `json:"compacted,omitempty"`
}

// store is a stand-in of the platform's metadata store. Each machine has an address of its own there, by which it is known.
type store struct {
	servers []*http.Server

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	// silent holds the machines that get no answer, and calls the times of the latest calls of each machine.
	silent map[string]bool
	calls  map[string]time.Time
}

func newStore() *store {
	return &store{
		items: make(map[string]item), revision: 1, changed: make(chan struct{}), silent: make(map[string]bool), calls: make(map[string]time.Time),
	}
}

// listen opens the address at which a machine calls the store.
func (s *store) listen(machine, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, _ := json.Marshal(value)
	return s.write(item{Key: key, Value: text})
}

func (s *store) remove(key string) time.Time {
	return s.write(item{Key: key, Removed: true})
}

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.ModRevision, i.CreationRevision = s.revision, s.revision
	if before, known := s.items[i.Key]; known {
		i.CreationRevision = before.CreationRevision
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	s.wake()
	return time.Now()
}

// setSilent chooses the machines that get no answer any more, also to calls that wait.
func (s *store) setSilent(machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.silent)
	for _, m := range machines {
		s.silent[m] = true
	}
	s.wake()
}

// callersSince returns the machines that have called the store since a time.
func (s *store) callersSince(t time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var machines []string
	for machine, at := range s.calls {
		if at.After(t) {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type answer struct {
	*item
	Items        []item `json:"items,omitempty"`
	Events       []item `json:"events,omitempty"`
	HasMore      bool   `json:"has-more"`
	ReadRevision uint64 `json:"read-revision"`
	status       int
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[machine] = time.Now()
	s.mu.Unlock()
	time.Sleep(storeAnswerTime)
	a := s.answer(r)
	s.mu.Lock()
	silent := s.silent[machine]
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) answer(r *http.Request) answer {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		return s.key(query.Get("key"))
	case "/kv-range":
		return s.page(query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		return s.watch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	}
	return answer{status: http.StatusNotFound}
}

func (s *store) key(key string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	if !ok {
		return answer{status: http.StatusNotFound, ReadRevision: s.revision}
	}
	return answer{status: http.StatusOK, item: &found, ReadRevision: s.revision}
}

func (s *store) page(prefix, after string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{status: http.StatusOK, ReadRevision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			a.Items = append(a.Items, i)
		}
	}
	slices.SortFunc(a.Items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Items) > pageItems {
		a.Items, a.HasMore = a.Items[:pageItems], true
	}
	return a
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) answer {
	deadline := time.After(wait)
	for {
		a, changed := s.since(prefix, after)
		if len(a.Events) > 0 || a.status != http.StatusOK {
			return a
		}
		select {
		case <-changed:
		case <-deadline:
			return a
		case <-r.Context().Done():
			return a
		}
	}
}

func (s *store) since(prefix string, after uint64) (answer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{status: http.StatusOK, ReadRevision: s.revision}
	if after > s.revision {
		a.status = http.StatusGone
	}
	for _, e := range s.events {
		if e.ModRevision > after && strings.HasPrefix(e.Key, prefix) {
			a.Events = append(a.Events, e)
		}
	}
	return a, s.changed
}

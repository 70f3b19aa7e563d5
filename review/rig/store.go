//go:build review

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

// item is a key of the metadata store, or a change of one.
type item struct {
	Key              string `json:"key"`
	Value            []byte `json:"value,omitempty"`
	ModRevision      uint64 `json:"mod-revision"`
	CreationRevision uint64 `json:"creation-revision,omitempty"`
	LeaseID          uint64 `json:"lease-id"`
	Compacted        bool   `json:"compacted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It answers as PROTOCOL.md says and keeps its whole history.
type store struct {
	server  *http.Server
	address string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, items: make(map[string]item), revision: 100, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: text})
}

func (s *store) remove(key string) time.Time {
	return s.write(item{Key: key, Compacted: true})
}

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.ModRevision, i.CreationRevision = s.revision, s.revision
	if i.Compacted {
		delete(s.items, i.Key)
	} else {
		if before, ok := s.items[i.Key]; ok {
			i.CreationRevision = before.CreationRevision
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		found, ok := s.items[q.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		status := http.StatusOK
		if !ok {
			status = http.StatusNotFound
		}
		reply(w, status, struct {
			item
			ReadRevision uint64 `json:"read-revision"`
		}{found, revision})
	case "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items, revision := []item{}, s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "read-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, e := range s.events {
			if e.ModRevision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "read-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "read-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

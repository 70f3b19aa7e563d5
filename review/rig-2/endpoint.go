//go:build review2

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// capacity is the number of requests that an endpoint runs at the same time, and queueLength the number that wait.
	capacity    = 3
	queueLength = 24
)

// run is a request that an endpoint has begun to work on.
type run struct {
	id, endpoint, service, caller, method, uri string
	at                                         time.Time
}

// endpoint is a stand-in of an application endpoint. It registers itself and writes its entry in each heartbeat.
type endpoint struct {
	id, service, zone, address string
	store                      *store
	record                     *record
	work                       time.Duration
	server                     *http.Server
	slots, queue               chan struct{}
	stop                       chan struct{}

	mu       sync.Mutex
	phase    string
	born     int64
	sequence int
	runs     []run
}

func startEndpoint(r *record, s *store, id, service, zone, address string, work time.Duration) (*endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, zone: zone, address: address, store: s, record: r, work: work, phase: "ready", born: time.Now().UnixMilli(),
		slots: make(chan struct{}, capacity), queue: make(chan struct{}, capacity+queueLength), stop: make(chan struct{}),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	return e, nil
}

// close ends the endpoint as a crash would.
func (e *endpoint) close() {
	select {
	case <-e.stop:
	default:
		close(e.stop)
	}
	_ = e.server.Close()
}

func (e *endpoint) beat() {
	for {
		e.register()
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes the entry and returns the time of the acknowledgement.
func (e *endpoint) register() time.Time {
	e.mu.Lock()
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": capacity, "phase": e.phase,
		"warmup-left": "0ms", "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	return e.store.put("servers/"+e.id, entry)
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", e.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case e.queue <- struct{}{}:
		defer func() { <-e.queue }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	got := run{
		id: id, endpoint: e.id, service: e.service, caller: r.Header.Get("X-Caller-Service"), method: r.Method, uri: r.RequestURI, at: time.Now(),
	}
	e.mu.Lock()
	e.runs = append(e.runs, got)
	e.mu.Unlock()
	e.record.addAt(got.at, "run       %s at %s of %s: %s %s, caller %q, %d bytes", id, e.id, e.service, r.Method, r.RequestURI, got.caller, len(body))
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Signature", e.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+e.id+" to "+id)
}

// ran returns the requests that the endpoint has begun to work on.
func (e *endpoint) ran() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

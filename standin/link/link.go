// Package link is a faulty network link: a TCP forwarder with delay and jitter, loss of one direction, and connections
// that fall silent for good while new ones work. The conditions are switched at run time.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Directions of a link.
const (
	DirectionNone     = ""
	DirectionToServer = "to-server"
	DirectionToClient = "to-client"
	DirectionBoth     = "both"
)

const (
	dialTimeout = 5 * time.Second
	chunkSize   = 32 << 10
	// queueChunks bounds the data in flight of one direction of a connection; a full queue stops reading.
	queueChunks = 256
)

// Conditions of a link.
type Conditions struct {
	// DelayMS is the one-way delay; JitterMS is the largest random addition to it.
	DelayMS  float64 `json:"delay_ms"`
	JitterMS float64 `json:"jitter_ms"`
	// Lose swallows the bytes of a direction: "to-server", "to-client" or "both". A connection that has lost bytes or an
	// end of stream passes nothing in that direction any more, because the rest of the stream would be corrupt.
	Lose string `json:"lose"`
	// Refuse closes the listener, so that new connections are refused. Open connections go on.
	Refuse bool `json:"refuse"`
}

// Check returns an error that names the first invalid condition.
func (c *Conditions) Check() error {
	switch c.Lose {
	case DirectionNone, DirectionToServer, DirectionToClient, DirectionBoth:
	default:
		return fmt.Errorf("lose %q: want empty, %s, %s or %s", c.Lose, DirectionToServer, DirectionToClient, DirectionBoth)
	}
	if c.DelayMS < 0 || c.JitterMS < 0 {
		return fmt.Errorf("delay_ms %g, jitter_ms %g: want 0 or more", c.DelayMS, c.JitterMS)
	}
	return nil
}

func (c *Conditions) loses(direction string) bool {
	return c.Lose == direction || c.Lose == DirectionBoth
}

func (c *Conditions) delay() time.Duration {
	ms := c.DelayMS
	if c.JitterMS > 0 {
		ms += rand.Float64() * c.JitterMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Settings of a link.
type Settings struct {
	// Listen and Admin are addresses; a port of 0 chooses a free one. An empty Admin opens no admin listener.
	Listen     string
	To         string
	Admin      string
	Conditions Conditions
	Logger     *slog.Logger
}

// Stats are counts since the start.
type Stats struct {
	Open          int   `json:"open"`
	Silent        int   `json:"silent"`
	Accepted      int   `json:"accepted"`
	BytesToServer int64 `json:"bytes_to_server"`
	BytesToClient int64 `json:"bytes_to_client"`
	BytesLost     int64 `json:"bytes_lost"`
}

// Link forwards TCP connections.
type Link struct {
	settings     Settings
	logger       *slog.Logger
	address      string
	admin        *http.Server
	adminAddress string

	mu         sync.Mutex
	conditions Conditions
	listener   net.Listener
	flows      map[*flow]struct{}
	stats      Stats
	stopped    bool

	tasks sync.WaitGroup
}

// New returns a link that is not yet started.
func New(settings Settings) (*Link, error) {
	if err := settings.Conditions.Check(); err != nil {
		return nil, err
	}
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	return &Link{settings: settings, logger: settings.Logger, flows: make(map[*flow]struct{})}, nil
}

// Start opens the listeners and forwards.
func (l *Link) Start() error {
	if l.settings.Admin != "" {
		if err := l.startAdmin(); err != nil {
			return err
		}
	}
	l.address = l.settings.Listen
	if err := l.listen(); err != nil {
		return err
	}
	return l.SetConditions(l.settings.Conditions)
}

// Stop closes the listeners and all connections.
func (l *Link) Stop() error {
	l.mu.Lock()
	l.stopped = true
	listener := l.listener
	open := make([]*flow, 0, len(l.flows))
	for f := range l.flows {
		open = append(open, f)
	}
	l.mu.Unlock()
	var err error
	if l.admin != nil {
		err = l.admin.Close()
	}
	if closeErr := listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	for _, f := range open {
		f.close()
	}
	l.tasks.Wait()
	return err
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// AdminAddress returns the address for switching conditions.
func (l *Link) AdminAddress() string { return l.adminAddress }

// Conditions returns the conditions in force.
func (l *Link) Conditions() Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// SetConditions replaces the conditions in force, also for open connections.
func (l *Link) SetConditions(c Conditions) error {
	if err := c.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	before := l.conditions
	l.conditions = c
	listener := l.listener
	l.mu.Unlock()
	switch {
	case c.Refuse && !before.Refuse:
		if err := listener.Close(); err != nil {
			return fmt.Errorf("close listener: %w", err)
		}
	case !c.Refuse && before.Refuse:
		return l.listen()
	}
	return nil
}

// Silence makes all connections that are open now silent for good: they stay open and pass nothing, not even an end of
// stream. It returns their number.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.flows {
		f.silence()
	}
	return len(l.flows)
}

// Reset resets all connections that are open now and returns their number.
func (l *Link) Reset() int {
	l.mu.Lock()
	open := make([]*flow, 0, len(l.flows))
	for f := range l.flows {
		open = append(open, f)
	}
	l.mu.Unlock()
	for _, f := range open {
		f.reset()
	}
	return len(open)
}

// Stats returns the counts since the start.
func (l *Link) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Open = len(l.flows)
	for f := range l.flows {
		if f.isSilent() {
			stats.Silent++
		}
	}
	return stats
}

func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen for connections: %w", err)
	}
	l.mu.Lock()
	l.listener = listener
	l.address = listener.Addr().String()
	l.mu.Unlock()
	l.tasks.Go(func() { l.accept(listener) })
	return nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				l.logger.Error("accept connection", "error", err)
			}
			return
		}
		l.tasks.Go(func() { l.connect(client) })
	}
}

func (l *Link) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.settings.To, dialTimeout)
	if err != nil {
		l.logger.Warn("connect to server", "address", l.settings.To, "error", err)
		client.Close()
		return
	}
	f := &flow{link: l, client: client, server: server, closed: make(chan struct{})}
	if !l.add(f) {
		f.close()
		return
	}
	f.run()
	l.remove(f)
}

func (l *Link) add(f *flow) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.flows[f] = struct{}{}
	l.stats.Accepted++
	return true
}

func (l *Link) remove(f *flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.flows, f)
}

func (l *Link) count(direction string, n int, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case lost:
		l.stats.BytesLost += int64(n)
	case direction == DirectionToServer:
		l.stats.BytesToServer += int64(n)
	default:
		l.stats.BytesToClient += int64(n)
	}
}

// startAdmin serves GET /stats, GET /conditions, POST /conditions (a JSON object with the conditions to change) and
// POST /silence.
func (l *Link) startAdmin() error {
	listener, err := net.Listen("tcp", l.settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for admin requests: %w", err)
	}
	l.adminAddress = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { l.writeJSON(w, l.Stats()) })
	mux.HandleFunc("GET /conditions", func(w http.ResponseWriter, _ *http.Request) { l.writeJSON(w, l.Conditions()) })
	mux.HandleFunc("POST /conditions", l.changeConditions)
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		l.writeJSON(w, map[string]int{"silenced": l.Silence()})
	})
	l.admin = &http.Server{Handler: mux}
	go func() {
		if err := l.admin.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.logger.Error("admin server ended", "error", err)
		}
	}()
	return nil
}

func (l *Link) changeConditions(w http.ResponseWriter, r *http.Request) {
	conditions := l.Conditions()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&conditions); err != nil {
		http.Error(w, fmt.Sprintf("decode conditions: %v", err), http.StatusBadRequest)
		return
	}
	if err := l.SetConditions(conditions); err != nil {
		http.Error(w, fmt.Sprintf("set conditions: %v", err), http.StatusBadRequest)
		return
	}
	l.logger.Info("conditions changed", "conditions", conditions)
	l.writeJSON(w, conditions)
}

func (l *Link) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		l.logger.Warn("write admin response", "error", err)
	}
}

// flow is one forwarded connection.
type flow struct {
	link   *Link
	client net.Conn
	server net.Conn

	once   sync.Once
	closed chan struct{}
	mu     sync.Mutex
	silent bool
}

// chunk is a piece of a stream and the time at which it arrives at the other side. A chunk without data is the end of
// the stream.
type chunk struct {
	data    []byte
	arrival time.Time
}

func (f *flow) run() {
	var directions sync.WaitGroup
	directions.Go(func() { f.forward(DirectionToServer, f.client, f.server) })
	directions.Go(func() { f.forward(DirectionToClient, f.server, f.client) })
	directions.Wait()
	f.close()
}

// forward passes one direction until its end of stream has been passed on or the flow is closed.
func (f *flow) forward(direction string, from, to net.Conn) {
	queue := make(chan chunk, queueChunks)
	var reading sync.WaitGroup
	reading.Go(func() { f.read(from, queue) })
	f.deliver(direction, queue, to)
	reading.Wait()
}

func (f *flow) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	var last time.Time
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		conditions := f.link.Conditions()
		arrival := time.Now().Add(conditions.delay())
		// Jitter must not reorder the bytes of a stream.
		if arrival.Before(last) {
			arrival = last
		}
		last = arrival
		if n > 0 && !f.enqueue(queue, chunk{buffer[:n], arrival}) {
			return
		}
		if errors.Is(err, io.EOF) {
			f.enqueue(queue, chunk{nil, arrival})
			return
		}
		if err != nil {
			f.abort()
			return
		}
	}
}

func (f *flow) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-f.closed:
		return false
	}
}

func (f *flow) deliver(direction string, queue <-chan chunk, to net.Conn) {
	lost := false
	for c := range queue {
		if !f.waitUntil(c.arrival) {
			break
		}
		conditions := f.link.Conditions()
		lost = lost || f.isSilent() || conditions.loses(direction)
		f.link.count(direction, len(c.data), lost)
		if lost {
			continue
		}
		if c.data == nil {
			closeWrite(to)
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			f.abort()
		}
	}
	if lost {
		// The other side must not learn of the end of the stream.
		<-f.closed
	}
}

func (f *flow) waitUntil(arrival time.Time) bool {
	timer := time.NewTimer(time.Until(arrival))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.closed:
		return false
	}
}

// abort closes the flow after a reset by one side. A silent flow and one that loses a direction stay open on the other
// side, since a reset would be lost too.
func (f *flow) abort() {
	conditions := f.link.Conditions()
	if f.isSilent() || conditions.Lose != DirectionNone {
		return
	}
	f.close()
}

func (f *flow) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

func (f *flow) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func (f *flow) close() {
	f.once.Do(func() {
		close(f.closed)
		f.client.Close()
		f.server.Close()
	})
}

// reset closes both connections without an orderly end of stream.
func (f *flow) reset() {
	for _, conn := range []net.Conn{f.client, f.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	f.close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.CloseWrite()
	}
}

// Wait blocks until the context is done and stops the link.
func (l *Link) Wait(ctx context.Context) error {
	<-ctx.Done()
	return l.Stop()
}

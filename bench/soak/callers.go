package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agatepulley.example/agatepulley/platform"
	"agatepulley.example/agatepulley/platform/platformtest"
)

const (
	requestsPerSecond = 25 // for each node
	deadline          = 1500 * time.Millisecond
	// giveUpShare of the callers leave before the response.
	giveUpShare = 0.05
	giveUpAfter = 40 * time.Millisecond
	// freshShare of the requests use a new connection.
	freshShare = 0.3
	bodyBytes  = 2000
)

// kind is a kind of request of the load.
type kind struct {
	method, prefix string
	repeatable     bool
	body           int
}

// kinds are on routes that every configuration has.
var kinds = []kind{
	{http.MethodGet, "/read/", true, 0},
	{http.MethodPost, "/book/", false, bodyBytes},
	{http.MethodDelete, "/mark/", false, 0},
	{http.MethodGet, "/scan/", true, 0},
}

// stableRoutes are in every configuration.
func stableRoutes() []platformtest.Route {
	return []platformtest.Route{
		{Prefix: "/read/", Kind: "safe", Service: serviceDesk},
		{Prefix: "/book/", Kind: "unsafe", Service: serviceDesk},
		{Prefix: "/mark/", Kind: "unsafe", Service: serviceScan},
		{Prefix: "/scan/", Kind: "download", Service: serviceScan},
	}
}

// sent is a request with what its caller saw.
type sent struct {
	id, method, path, body string
	host                   int
	incarnation            int
	repeatable, gaveUp     bool
	// workspace is that of the key that the request carries, or empty if it carries none.
	workspace string
	// marker is the version whose route the request uses, or 0.
	marker int
	// crashing is set if the request crashes each endpoint that runs it.
	crashing bool
	at, done time.Time
	// begun is set once the request has been written, so that a broken connection may have cut it.
	begun     bool
	status    int
	text      string
	echoed    string
	signature string
	// limited and leaving are set if the response says so of the endpoint.
	limited, leaving bool
	err              error
}

// callers sends the load and keeps what came back.
type callers struct {
	fleet *fleet
	run   string

	mu   sync.Mutex
	rng  *rand.Rand
	next int
	all  []*sent
}

func newCallers(f *fleet, seed uint64) *callers {
	return &callers{fleet: f, run: strconv.FormatUint(rand.Uint64(), 36), rng: rand.New(rand.NewPCG(seed, 1))}
}

// probeClient waits as long as the clients of the load.
var probeClient = newClient(&http.Transport{DisableKeepAlives: true})

// newClient returns a client that waits longer than the deadline of requests, by which nodes must have responded.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{Timeout: 2 * deadline, Transport: transport}
}

// drive sends requests to each node until the context ends, and waits for the responses.
func (c *callers) drive(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, h := range c.fleet.hosts {
		client := newClient(&http.Transport{MaxIdleConnsPerHost: 8})
		tasks.Go(func() { c.driveHost(ctx, h, client, &tasks) })
	}
	tasks.Wait()
}

func (c *callers) driveHost(ctx context.Context, h *host, client *http.Client, tasks *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r, fresh := c.draw(h)
		tasks.Go(func() { c.send(client, r, fresh) })
	}
}

func (c *callers) draw(h *host) (r *sent, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := kinds[c.rng.IntN(len(kinds))]
	r = c.request(h, k.method, k.prefix)
	r.repeatable, r.body = k.repeatable, strings.Repeat("b", k.body)
	r.gaveUp = c.rng.Float64() < giveUpShare
	if r.workspace != "" && c.next%limitedEvery == 0 {
		r.workspace = workspaceLimited
	}
	return r, c.rng.Float64() < freshShare
}

// request adds a request to the record. The caller holds the lock.
func (c *callers) request(h *host, method, prefix string) *sent {
	c.next++
	r := &sent{
		id: fmt.Sprintf("%s-%d", c.run, c.next), method: method, host: h.number, incarnation: int(h.restarts.Load()), at: time.Now(),
	}
	if c.fleet.workspaces {
		r.workspace = workspaceFree
	}
	r.path = prefix + strconv.Itoa(c.next) + "?n=" + strconv.Itoa(c.next)
	c.all = append(c.all, r)
	return r
}

const (
	// crashingPeriod is the interval at which each crashing request is sent.
	crashingPeriod = 375 * time.Millisecond
	// crashingMark is in the paths of crashing requests.
	crashingMark = "crashing-"
)

// driveCrashing sends the same crashing requests at random nodes of one service until the context ends. Each may be repeated or
// may run once, in turn.
func (c *callers) driveCrashing(ctx context.Context, count int) {
	client := newClient(&http.Transport{DisableKeepAlives: true})
	rng := rand.New(rand.NewPCG(uint64(count), 4))
	ticker := time.NewTicker(crashingPeriod)
	defer ticker.Stop()
	var tasks sync.WaitGroup
	for ctx.Err() == nil {
		for n := range count {
			r := c.crashingRequest(n, rng)
			tasks.Go(func() { c.send(client, r, true) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	tasks.Wait()
}

func (c *callers) crashingRequest(n int, rng *rand.Rand) *sent {
	hosts := c.fleet.hostsOf(serviceDesk)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := kinds[n%2]
	r := c.request(hosts[rng.IntN(len(hosts))], k.method, k.prefix)
	r.repeatable, r.crashing = k.repeatable, true
	r.path = k.prefix + crashingMark + strconv.Itoa(n)
	r.body = strings.Repeat("c", k.body)
	return r
}

// probe asks a node for the route that only one version has.
func (c *callers) probe(h *host, version int) *sent {
	c.mu.Lock()
	r := c.request(h, http.MethodGet, markerPrefix(version))
	r.repeatable, r.marker = true, version
	c.mu.Unlock()
	c.send(probeClient, r, true)
	return r
}

func markerPrefix(version int) string {
	return fmt.Sprintf("/version-%d/", version)
}

func (c *callers) send(client *http.Client, r *sent, fresh bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*deadline)
	defer cancel()
	if r.gaveUp {
		ctx, cancel = context.WithTimeout(ctx, giveUpAfter)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.fleet.address(r.host, portCallers)+r.path, strings.NewReader(r.body))
	if err != nil {
		c.finish(r, func() { r.err = err })
		return
	}
	names := platform.Headers()
	request.Host, request.Close = platformtest.RouteHost, fresh
	request.Header.Set(names.RequestID, r.id)
	request.Header.Set(names.DeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set(names.CallerService, "forged")
	request.Header.Set(names.Workspace, "forged")
	r.authorize(request.Header)
	// The client must not send a request again by itself.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		c.finish(r, func() { r.err, r.begun = err, !isDialError(err) })
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.finish(r, func() {
		r.begun, r.status, r.text, r.err = true, response.StatusCode, string(text), err
		r.limited, r.leaving = response.Header.Get(names.Limit) != "", response.Header.Get(names.Leaving) != ""
		r.echoed, r.signature = response.Header.Get(names.RequestID), response.Header.Get(names.Signature)
	})
}

func (c *callers) finish(r *sent, set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.done = time.Now()
	set()
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["twice"] = twice
	cases["stop"] = stopDuringDownloads
	cases["whole"] = wholeBody
	cases["caller"] = callerService
	cases["smuggle"] = smuggle
	cases["drain"] = removedEndpoint
	cases["dark"] = darkCrashes
}

const service = "huvo11a"

// settle is the time after the start of the nodes after which clients begin to send.
const settle = 3 * time.Second

// prepare starts hosts in the zones, publishes a configuration and starts the nodes.
func (f *fleet) prepare(zones []string, routes ...route) error {
	for _, zone := range zones {
		if _, err := f.addHost(service, zone); err != nil {
			return err
		}
	}
	f.publish(7, routes...)
	if err := f.startNodes(); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// runsByID returns how often endpoints began to work on each request.
func (f *fleet) runsByID() map[string]int {
	runs := make(map[string]int)
	for _, e := range f.endpoints {
		for _, r := range e.allRuns() {
			runs[r.ID]++
		}
	}
	return runs
}

// twice sends requests of an unsafe route whose path would belong to a safe route if an empty segment were dropped or an encoded
// slash decoded. Two of four endpoints lose the answers of a quarter of the requests that they ran.
func twice(f *fleet, trouble bool) (bool, error) {
	const (
		requests  = 160
		lostOneIn = 4
	)
	err := f.prepare([]string{"kgn-a", "kgn-b", "spt-a", "kgn-a"},
		route{prefix: "/pufi791/", kind: "unsafe", service: service}, route{prefix: "/pufi791/preview/", kind: "safe", service: service})
	if err != nil {
		return false, err
	}
	var began atomic.Int64
	for n, e := range f.endpoints {
		// Longer than any pause of the machine, so that no attempt counts as slow.
		e.work = 150 * time.Millisecond
		if !trouble || n%2 == 1 {
			continue
		}
		e.respond = func(c net.Conn, r *run) bool {
			if began.Add(1)%lostOneIn == 0 {
				f.note("lost     the answer of %s to %s: the connection is closed", e.id, r.ID)
				return false
			}
			return e.writeAnswer(c, r)
		}
	}
	paths := []string{"/pufi791//preview/17", "/pufi791/preview%2F17", "/pufi791/17"}
	sent := make(map[string]string)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for n := range requests {
		path := paths[n%len(paths)]
		tasks.Go(func() {
			a := f.send(1+n%len(f.nodes), "POST", path, "", []byte("charge"))
			mu.Lock()
			sent[a.ID] = path
			mu.Unlock()
		})
		time.Sleep(80 * time.Millisecond)
	}
	tasks.Wait()
	runs, broken := f.runsByID(), make(map[string]int)
	for id, path := range sent {
		if runs[id] > 1 {
			f.note("checked  %s %s ran %d times", id, path, runs[id])
			broken[path]++
		}
	}
	for _, path := range paths {
		f.note("checked  POST %s, a request of the unsafe route /pufi791/: %d of about %d ran more than once", path, broken[path], requests/len(paths))
	}
	return len(broken) == 0, nil
}

// stopDuringDownloads stops the node of a host while clients on it download. They read over links with small windows.
func stopDuringDownloads(f *fleet, trouble bool) (bool, error) {
	const (
		downloads = 8
		size      = 540_000
		rate      = 150_000 // bytes per second and client: together they use a link of 10 Mbit/s
	)
	err := f.prepare([]string{"kgn-a", "kgn-b", "spt-a"}, route{prefix: "/pule252/", kind: "download", service: service, timeout: "6000ms"})
	if err != nil {
		return false, err
	}
	for _, e := range f.endpoints {
		e.answer = func(*run) []byte { return bytes.Repeat([]byte("scan"), size/4) }
	}
	begin := time.Now()
	if trouble {
		f.note("signal   SIGTERM to the node of host 1")
		if err := f.nodes[0].command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		n := f.nodes[0]
		go func() {
			err := <-n.done
			f.note("process  the node of host 1 has ended %.2f s after SIGTERM (%v); the platform would kill it after 6 s", time.Since(begin).Seconds(), err)
			n.done <- err
		}()
	}
	var tasks sync.WaitGroup
	var cut atomic.Int64
	for n := range downloads {
		tasks.Go(func() {
			time.Sleep(time.Duration(1000+100*n) * time.Millisecond)
			a := f.download(1, "/pule252/2f", 6000, rate)
			if !a.whole() {
				cut.Add(1)
			}
		})
	}
	tasks.Wait()
	f.note("checked  %d of %d downloads ended without a complete answer", cut.Load(), downloads)
	return cut.Load() == 0, nil
}

// download reads an answer at a rate in bytes per second, over a connection with a small window.
func (f *fleet) download(host int, path string, deadlineMS, rate int) answer {
	const pause = 20 * time.Millisecond
	a := answer{ID: f.nextID()}
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
		})
	}}
	begin := time.Now()
	f.note("sent     %s from host %d: GET %s", a.ID, host, path)
	defer func() {
		f.note("answered %s: status %d, %d bytes, complete %v, error %v, after %.2f s", a.ID, a.Status, len(a.Body), a.whole(), a.Err, time.Since(begin).Seconds())
	}()
	conn, err := dialer.Dial("tcp", f.address(host, portOutbound))
	if err != nil {
		a.Err = err
		return a
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, routeHost, a.ID, deadlineMS)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.Err = err
		return a
	}
	defer response.Body.Close()
	a.Status, a.Signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, response.Body, int64(rate)*int64(pause)/int64(time.Second))
		if err == io.EOF {
			break
		}
		if err != nil {
			a.Err = err
			break
		}
		time.Sleep(pause)
	}
	a.Body = body.Bytes()
	return a
}

// wholeBody downloads answers of exactly 1 MiB, and without the disruption answers that are a byte shorter or longer.
func wholeBody(f *fleet, trouble bool) (bool, error) {
	const mebibyte = 1 << 20
	err := f.prepare([]string{"kgn-a", "kgn-b", "spt-a"}, route{prefix: "/pule252/", kind: "download", service: service})
	if err != nil {
		return false, err
	}
	for _, e := range f.endpoints {
		e.answer = func(r *run) []byte {
			size := 0
			_, _ = fmt.Sscanf(r.URI, "/pule252/%d", &size)
			return bytes.Repeat([]byte("x"), size)
		}
	}
	sizes := []int{mebibyte}
	if !trouble {
		sizes = []int{mebibyte - 1, mebibyte + 1}
	}
	broken := 0
	for n := range 24 {
		a := f.send(1+n%len(f.nodes), "GET", fmt.Sprintf("/pule252/%d", sizes[n%len(sizes)]), "", nil)
		if a.Status/100 == 2 && a.Err == nil && !a.whole() {
			f.note("checked  %s is a complete success with the signature %q, but its body has %d bytes", a.ID, a.Signature, len(a.Body))
			broken++
		}
	}
	f.note("checked  successes without the whole body of the endpoint: %d", broken)
	return broken == 0, nil
}

// callerService sends requests with another service in X-Caller-Service: in two fields, or without the disruption in one.
func callerService(f *fleet, trouble bool) (bool, error) {
	const forged = "wuno96b"
	err := f.prepare([]string{"kgn-a", "kgn-b", "spt-a"}, route{prefix: "/lohu930/", kind: "safe", service: service}, route{prefix: "/pufi791/", kind: "unsafe", service: service})
	if err != nil {
		return false, err
	}
	lines := "X-Caller-Service: " + forged + "\r\n"
	if trouble {
		lines += lines
	}
	for n := range 30 {
		path, method := "/lohu930/2f", "GET"
		if n%2 == 1 {
			path, method = "/pufi791/2f", "POST"
		}
		f.send(1+n%len(f.nodes), method, path, lines, nil)
	}
	broken := 0
	for _, e := range f.endpoints {
		for _, r := range e.allRuns() {
			// Fields with the same name are one list (RFC 9110, 5.3).
			if value := strings.Join(r.Callers, ", "); value != service {
				f.note("checked  %s ran at %s with X-Caller-Service %q; it began on a machine of %q", r.ID, e.id, value, service)
				broken++
			}
		}
	}
	f.note("checked  requests that ran with another X-Caller-Service than the service of their machine: %d", broken)
	return broken == 0, nil
}

// smuggle sends a request with both framings, with another request behind the end of its chunks. The line between the two
// framing fields ends with a bare line feed, or without the disruption with a carriage return and a line feed.
func smuggle(f *fleet, trouble bool) (bool, error) {
	err := f.prepare([]string{"kgn-a", "kgn-b", "spt-a"}, route{prefix: "/pufi791/", kind: "unsafe", service: service})
	if err != nil {
		return false, err
	}
	end := "\r\n"
	if trouble {
		end = "\n"
	}
	var inner []string
	for n := range 12 {
		outerID, innerID := f.nextID(), f.nextID()
		inner = append(inner, innerID)
		hidden := fmt.Sprintf("POST /pufi791/hidden HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", routeHost, innerID)
		body := "0\r\n\r\n" + hidden
		text := fmt.Sprintf("POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d%sTransfer-Encoding: chunked\r\n\r\n%s",
			routeHost, outerID, len(body), end, body)
		conn, err := net.DialTimeout("tcp", f.address(1+n%len(f.nodes), portOutbound), time.Second)
		if err != nil {
			return false, err
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		f.note("sent     %s from host %d, one request, whose body of %d bytes holds another request %s: %q", outerID, 1+n%len(f.nodes), len(body), innerID, text)
		_, _ = io.WriteString(conn, text)
		reader := bufio.NewReader(conn)
		for range 2 {
			a := answer{ID: outerID}
			a.read(reader, "POST")
			f.note("answered status %d, %d bytes, error %v", a.Status, len(a.Body), a.Err)
			if a.Err != nil {
				break
			}
		}
		_ = conn.Close()
	}
	runs, broken := f.runsByID(), 0
	for _, id := range inner {
		if runs[id] > 0 {
			broken++
		}
	}
	f.note("checked  requests that were smuggled inside another request and ran: %d of %d", broken, len(inner))
	return broken == 0, nil
}

// removedEndpoint lets the open connections of all nodes to the store go silent, and removes the entry of an endpoint a second later.
// The endpoint never reports draining and serves on for some seconds.
func removedEndpoint(f *fleet, trouble bool) (bool, error) {
	const (
		removeAfter = 900 * time.Millisecond
		margin      = 100 * time.Millisecond // for the way from a client to the endpoint
		servesOn    = 5 * time.Second
	)
	err := f.prepare([]string{"kgn-a", "kgn-b", "spt-a"}, route{prefix: "/pufi791/", kind: "unsafe", service: service}, route{prefix: "/lohu930/", kind: "safe", service: service})
	if err != nil {
		return false, err
	}
	for _, e := range f.endpoints {
		e.work = 50 * time.Millisecond
	}
	leaving := f.endpoints[2]
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for host := range f.nodes {
		tasks.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				path, method := "/pufi791/2f", "POST"
				if rand.IntN(3) == 0 {
					path, method = "/lohu930/2f", "GET"
				}
				tasks.Go(func() { f.send(1+host, method, path, "", nil) })
			}
		})
	}
	time.Sleep(6*time.Second + rand.N(time.Second))
	silenced := time.Now()
	if trouble {
		for n := range f.nodes {
			f.note("silent   %d open connections of host %d to the store; new ones work", f.nodes[n].store.silence(), n+1)
		}
	}
	time.Sleep(removeAfter)
	acknowledged := leaving.deregister()
	f.note("store    acknowledges that %s is gone; it serves on for %v", leaving.id, servesOn)
	time.Sleep(servesOn)
	close(stop)
	tasks.Wait()
	leaving.exit()
	// Machines are in touch again stableWindow after the reset of their connections, as which the silence counts.
	bound := acknowledged.Add(drainBound)
	if inTouch := silenced.Add(stableWindow + margin); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	late := 0
	for _, r := range leaving.allRuns() {
		if r.At.After(bound) {
			late++
			f.note("checked  %s reached %s %.2f s after the acknowledgement, %.2f s after the connections went silent", r.ID, leaving.id, r.At.Sub(acknowledged).Seconds(), r.At.Sub(silenced).Seconds())
		}
	}
	f.note("checked  requests that reached %s later than %v after the acknowledgement, with all machines in touch: %d", leaving.id, drainBound, late)
	return late == 0, nil
}

// darkCrashes sends a request that crashes each endpoint which begins to run it, again and again, beside others. A crashed endpoint is
// silent until it starts again some seconds later, under a new id. Without the disruption its connections are closed at the crash.
func darkCrashes(f *fleet, trouble bool) (bool, error) {
	const (
		crashing  = "/pufi791/crash"
		downTime  = 3 * time.Second
		playTime  = 30 * time.Second
		mayReturn = 3 // retries that may reach endpoints later than stableWindow after the third crash
	)
	zones := []string{"kgn-a", "kgn-b", "spt-a", "kgn-a", "kgn-b", "spt-a"}
	if err := f.prepare(zones, route{prefix: "/pufi791/", kind: "unsafe", service: service}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	lost := 0
	var arm func(e *endpoint, starts int)
	arm = func(e *endpoint, starts int) {
		e.work = 60 * time.Millisecond
		crashed := make(chan struct{})
		var once sync.Once
		e.respond = func(c net.Conn, r *run) bool {
			if r.URI == crashing {
				once.Do(func() {
					f.note("crash    of %s by %s", e.id, r.ID)
					close(crashed)
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
					if !trouble {
						e.exit()
					}
					time.AfterFunc(downTime, func() {
						e.exit()
						e.deregister()
						next, err := f.newEndpoint(fmt.Sprintf("%s-%d", strings.Split(e.id, "_")[0]+"_", starts+1), service, e.zone, e.address)
						if err != nil {
							f.note("restart  of %s failed: %v", e.id, err)
							return
						}
						arm(next, starts+1)
					})
				})
			}
			select {
			case <-crashed:
				time.Sleep(downTime)
				return false
			default:
				return e.writeAnswer(c, r)
			}
		}
	}
	for _, e := range f.endpoints {
		arm(e, 0)
	}
	end := time.Now().Add(playTime)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(500*time.Millisecond + rand.N(500*time.Millisecond))
			host := 1 + rand.IntN(len(f.nodes))
			tasks.Go(func() { f.send(host, "POST", crashing, "", nil) })
		}
	})
	for host := range f.nodes {
		tasks.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
				tasks.Go(func() {
					if a := f.send(1+host, "POST", fmt.Sprintf("/pufi791/%d", n), "", nil); a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				})
			}
		})
	}
	tasks.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for n, at := range crashes {
		if n > 2 && at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	f.note("checked  the request crashed %d endpoints, %d of them later than %v after the third; %d other requests, which may run only once, got 502 or 504", len(crashes), late, stableWindow, lost)
	return late <= mayReturn, nil
}

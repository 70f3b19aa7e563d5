package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"agatepulley.example/agatepulley/platform/platformtest"
)

const (
	// inTouch is how long before a moment a host must have been without a fault for bounds in time to hold.
	inTouch = 3 * time.Second
	// applyWithin is how long after its publication a version may take until it is in force.
	applyWithin = 2 * time.Second
	// recoverWithin is how long after the last fault the fleet may take to serve as before.
	recoverWithin = 15 * time.Second
)

// run is a request that an endpoint began to work on.
type run struct {
	platformtest.Run
	endpoint *platformtest.Endpoint
}

// record is all that callers and endpoints saw.
type record struct {
	requests     []*sent
	runs         map[string][]run
	disturbances []*disturbance
	departures   []departure
	badStops     []badStop
	published    map[int]time.Time
	services     func(host int, at time.Time) []string
	limits       []announcedLimit
	// arrivals are the requests that have reached each endpoint.
	arrivals map[string][]platformtest.Arrival
}

// violations returns each broken guarantee.
func (r *record) violations() []string {
	var found []string
	add := func(rule string, s *sent, format string, args ...any) {
		found = append(found, fmt.Sprintf("%s: %s %s at node %d (%s): %s", rule, s.method, s.path, s.host, s.id, fmt.Sprintf(format, args...)))
	}
	known := make(map[string]bool, len(r.requests))
	for _, s := range r.requests {
		known[s.id] = true
		r.checkAnswer(s, add)
		r.checkRuns(s, add)
		r.checkConfiguration(s, add)
		r.checkStop(s, add)
	}
	for id, runs := range r.runs {
		if !known[id] {
			found = append(found, fmt.Sprintf("UNASKED: %s ran on %s and was never sent", id, runs[0].endpoint.ID))
		}
	}
	found = append(found, r.crashesPastProof()...)
	found = append(found, r.beyondAnnouncements()...)
	found = append(found, r.beyondLimits()...)
	slices.Sort(found)
	return append(append(found, r.regressions()...), r.failedStops()...)
}

// failedStops looks for planned stops that took too long, or that failed while nothing held their requests up.
func (r *record) failedStops() []string {
	everywhere := []int{everyone}
	for _, s := range r.requests {
		if !slices.Contains(everywhere, s.host) {
			everywhere = append(everywhere, s.host)
		}
	}
	var found []string
	for _, stop := range r.badStops {
		if stop.late || r.calm(stop.at.Add(-stopLimit), stop.at, true, everywhere...) {
			found = append(found, fmt.Sprintf("STOP: node %d: %v", stop.host, stop.err))
		}
	}
	return found
}

type report = func(rule string, s *sent, format string, args ...any)

// checkAnswer looks for responses that are not those of an endpoint to the request.
func (r *record) checkAnswer(s *sent, add report) {
	if s.status == 0 || s.err != nil {
		return
	}
	if s.echoed != "" && s.echoed != s.id {
		add("MIXED", s, "the response is that to %s", s.echoed)
	}
	if s.status >= 200 && s.status < 300 {
		endpoint, id, _ := strings.Cut(s.signature, ".")
		if id != s.id || s.text != platformtest.ResponseBody(endpoint, s.id) {
			add("MIXED", s, "status %d, signature %q, body %q", s.status, s.signature, s.text)
		}
		if len(r.runs[s.id]) == 0 {
			add("MIXED", s, "a success that no endpoint produced")
		}
	}
	switch s.status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		if s.marker == 0 {
			add("DENIED", s, "status %d: %s", s.status, s.text)
		}
	}
}

// checkRuns compares what endpoints ran with what was sent and answered.
func (r *record) checkRuns(s *sent, add report) {
	runs := r.runs[s.id]
	if len(runs) > 1 && !s.repeatable {
		add("TWICE", s, "ran on %s", endpointsOf(runs))
	}
	refused := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests ||
		s.status == http.StatusRequestTimeout || s.status == http.StatusMisdirectedRequest
	if refused && len(runs) > 0 && !s.repeatable {
		add("REFUSED", s, "status %d, and ran on %s", s.status, endpointsOf(runs))
	}
	for _, one := range runs {
		if one.Method != s.method || one.URI != s.path || one.Body != s.body {
			add("UNASKED", s, "ran as %s %s with %d bytes", one.Method, one.URI, len(one.Body))
		}
		if one.endpoint.Service != serviceOf(s) {
			add("ROUTE", s, "ran on %s of %s", one.endpoint.ID, one.endpoint.Service)
		}
		if callers := r.services(s.host, s.at); !slices.Contains(callers, one.Caller) {
			add("UNASKED", s, "caller %q, not one of %q", one.Caller, callers)
		}
		r.checkWorkspace(s, one, add)
		r.checkDrain(s, one, add)
	}
}

func serviceOf(s *sent) string {
	for _, route := range stableRoutes() {
		if strings.HasPrefix(s.path, route.Prefix) {
			return route.Service
		}
	}
	return serviceDesk
}

// checkDrain looks for work that reached an endpoint too long after it said that it leaves.
func (r *record) checkDrain(s *sent, one run, add report) {
	for _, d := range r.departures {
		late := one.At.Sub(d.at)
		if d.endpoint != one.endpoint.ID || late <= drainTime {
			continue
		}
		if r.calm(d.at, one.At, false, s.host, everyone) {
			add("DRAIN", s, "ran on %s %v after it said that it leaves", d.endpoint, late)
		}
	}
}

const (
	// provenAfter is the number of endpoints that a request may crash before it counts as the cause. Later than inTouch after
	// that, it may reach at most lateRunsAllowed further endpoints.
	provenAfter     = 3
	lateRunsAllowed = 3
)

// crashesBy returns the runs of a crashing request, each of which ended an endpoint.
func (r *record) crashesBy(s *sent) []run {
	if !s.crashing {
		return nil
	}
	return r.runs[s.id]
}

// crashesPastProof looks for requests that reach endpoints although they have crashed enough of them before.
func (r *record) crashesPastProof() []string {
	type arrival struct {
		run
		host int
	}
	arrivals := make(map[string][]arrival)
	for _, s := range r.requests {
		for _, one := range r.crashesBy(s) {
			arrivals[s.path] = append(arrivals[s.path], arrival{one, s.host})
		}
	}
	var found []string
	for path, list := range arrivals {
		if len(list) <= provenAfter {
			continue
		}
		slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
		late := 0
		for _, a := range list[provenAfter:] {
			if a.At.Sub(list[provenAfter-1].At) > inTouch && r.hostsCalm(a.At, a.host, everyone) {
				late++
			}
		}
		if late > lateRunsAllowed {
			found = append(found, fmt.Sprintf("BUDGET: %s crashed %d endpoints, %d of them later than %v after the third", path, len(list), late, inTouch))
		}
	}
	return found
}

// hostsCalm reports whether no fault was in force at the hosts at a moment or shortly before, apart from crashes of their
// endpoints by requests.
func (r *record) hostsCalm(at time.Time, hosts ...int) bool {
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		return d.what != crashedByRequest && slices.Contains(hosts, d.host) && !d.from.After(at) && !d.to.Before(at.Add(-inTouch))
	})
}

// checkConfiguration looks for nodes that do not know the version in force.
func (r *record) checkConfiguration(s *sent, add report) {
	published, ok := r.published[s.marker]
	if !ok || s.status != http.StatusNotFound {
		return
	}
	replaced, old := r.published[s.marker+1]
	if old && replaced.Before(s.done) {
		return
	}
	if s.at.Sub(published) > applyWithin && r.calm(published, s.done, false, s.host, everyone) {
		add("CONFIG", s, "version %d is not in force %v after its publication", s.marker, s.at.Sub(published))
	}
}

// regressions looks for nodes that went back to an older version in one incarnation.
func (r *record) regressions() []string {
	type process struct{ host, incarnation int }
	probes := make(map[process][]*sent)
	for _, s := range r.requests {
		if s.marker > 0 && s.status != 0 && s.status != http.StatusServiceUnavailable {
			p := process{s.host, s.incarnation}
			probes[p] = append(probes[p], s)
		}
	}
	var found []string
	for _, list := range probes {
		slices.SortFunc(list, func(a, b *sent) int { return a.at.Compare(b.at) })
		var newest *sent
		for _, s := range list {
			has := s.status != http.StatusNotFound
			if has && newest != nil && s.marker < newest.marker && newest.done.Before(s.at) {
				found = append(found, fmt.Sprintf("CONFIG: node %d went from version %d back to %d", s.host, newest.marker, s.marker))
			}
			if has && (newest == nil || s.marker > newest.marker) {
				newest = s
			}
		}
	}
	return found
}

// checkStop looks for requests that a planned stop or a reload cut.
func (r *record) checkStop(s *sent, add report) {
	if s.err == nil || s.gaveUp || !s.begun || s.done.Sub(s.at) >= deadline {
		return
	}
	during := r.planned(s)
	if during == "" || !r.calm(s.at, s.done, true, s.host) {
		return
	}
	for _, one := range r.runs[s.id] {
		if !r.calm(s.at, s.done, true, one.endpointHost()) {
			return
		}
		add("LOST", s, "cut during %s while it ran on %s: %v", during, one.endpoint.ID, s.err)
	}
}

func (o *run) endpointHost() int {
	var host int
	// The id names its host; one that does not is the fleet's mistake and counts as host 0, which is always disturbed.
	if _, err := fmt.Sscanf(o.endpoint.ID, "e%d-", &host); err != nil {
		return everyone
	}
	return host
}

// planned returns the planned work on the request's node while it was served, or nothing.
func (r *record) planned(s *sent) string {
	for _, d := range r.disturbances {
		if d.planned && d.host == s.host && !d.from.After(s.done) && !d.to.Before(s.at) {
			return d.what
		}
	}
	return ""
}

// calm reports whether no fault was in force at the hosts between two moments, nor shortly before. Planned work counts
// as a fault unless it is excused.
func (r *record) calm(from, to time.Time, excusePlanned bool, hosts ...int) bool {
	from = from.Add(-inTouch)
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		if (d.planned && excusePlanned) || !slices.Contains(hosts, d.host) {
			return false
		}
		return !d.from.After(to) && !d.to.Before(from)
	})
}

func endpointsOf(runs []run) string {
	ids := make([]string, 0, len(runs))
	for _, one := range runs {
		ids = append(ids, one.endpoint.ID)
	}
	return strings.Join(ids, ", ")
}

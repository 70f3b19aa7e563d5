package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// limitWindow is any span in which an endpoint gets at most limitFactor times what its limit allows, and limitSlack requests
	// more. It counts from inTouch after the limit was announced first, and for requests from machines that have passed such
	// a response on toldFor before or earlier.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldFor     = 500 * time.Millisecond
)

// announcedLimit is a limit that an endpoint announced in its responses for a time, or until the end of the run.
type announcedLimit struct {
	endpoint  string
	perSecond float64
	from, to  time.Time
}

// passedOn returns when each host first passed on a response of an endpoint that announces something.
func (r *record) passedOn(endpoint string, announces func(s *sent) bool) map[int]time.Time {
	first := make(map[int]time.Time)
	for _, s := range r.requests {
		from, _, _ := strings.Cut(s.signature, ".")
		if at, known := first[s.host]; from == endpoint && announces(s) && (!known || s.done.Before(at)) {
			first[s.host] = s.done
		}
	}
	return first
}

// undisturbed reports whether the node of a host neither restarted nor was frozen or cut off between two moments.
func (r *record) undisturbed(host int, from, to time.Time) bool {
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		ofNode := d.what == "kill" || d.what == "planned stop" || d.what == "freeze" || strings.HasPrefix(d.what, "hop ")
		return ofNode && d.host == host && !d.from.After(to) && !d.to.Before(from)
	})
}

// beyondAnnouncements looks for endpoints that got more requests than the limit that they had announced, or any after they had
// announced that they leave.
func (r *record) beyondAnnouncements() []string {
	byID := make(map[string]*sent, len(r.requests))
	for _, s := range r.requests {
		byID[s.id] = s
	}
	var found []string
	for _, l := range r.limits {
		if text := r.beyondLimit(l, byID); text != "" {
			found = append(found, text)
		}
	}
	for endpoint, arrivals := range r.arrivals {
		told := r.passedOn(endpoint, func(s *sent) bool { return s.leaving })
		late := 0
		for _, a := range arrivals {
			s := byID[a.ID]
			if s == nil {
				continue
			}
			if at, ok := told[s.host]; ok && s.at.Sub(at) > drainTime && r.undisturbed(s.host, at, a.At) {
				late++
			}
		}
		if late > 0 {
			found = append(found, fmt.Sprintf("DRAIN: %s got %d requests from nodes that had passed on that it leaves", endpoint, late))
		}
	}
	return found
}

// beyondLimit returns the first window in which an endpoint got more than its limit allows, or nothing.
func (r *record) beyondLimit(l announcedLimit, byID map[string]*sent) string {
	told := r.passedOn(l.endpoint, func(s *sent) bool { return s.limited && !s.at.Before(l.from) })
	var counted []time.Time
	for _, a := range r.arrivals[l.endpoint] {
		s := byID[a.ID]
		if s == nil || (!l.to.IsZero() && a.At.After(l.to)) {
			continue
		}
		if at, ok := told[s.host]; ok && a.At.Sub(at) > toldFor && r.undisturbed(s.host, at, a.At) {
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
	for first, last := 0, 0; last < len(counted); last++ {
		for counted[last].Sub(counted[first]) > limitWindow {
			first++
		}
		if got := last - first + 1; got > allowed && counted[last].Sub(l.from) > inTouch {
			return fmt.Sprintf("LIMIT: %s got %d requests in %v at a limit of %v a second, allowed %d", l.endpoint, got, limitWindow, l.perSecond, allowed)
		}
	}
	return ""
}

package forward

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/reports"
)

// partlyLinked is a Conditions in which only the given hosts report to this node. It implements only the methods that
// the test calls.
type partlyLinked struct {
	Conditions
	linked []string
	// reported is the latest report on each endpoint, or nil if there are none.
	reported *reports.ReceivedEndpoint
}

func (c partlyLinked) Linked(ip string) bool { return slices.Contains(c.linked, ip) }
func (c partlyLinked) Endpoint(string) (reports.ReceivedEndpoint, bool) {
	if c.reported == nil {
		return reports.ReceivedEndpoint{}, false
	}
	return *c.reported, true
}
func (c partlyLinked) Path(string) (broken float64, leaving bool) { return 0, false }

// announced holds what endpoints have announced, by their IDs.
type announced map[string]announce.State

func (a announced) State(id string) announce.State { return a[id] }

// Guards against requests that are sent to endpoints whose condition is not reported to this node while there are others,
// and against requests that are refused although untried endpoints without a report remain, or some without a limit.
func TestCandidatesAreThoseWithALinkFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	endpoints := make([]*registry.Endpoint, 6)
	for n := range endpoints {
		endpoints[n] = &registry.Endpoint{Entry: registry.Entry{
			ID: fmt.Sprintf("e%d", n), Service: "desk", Zone: "a", Address: fmt.Sprintf("10.0.0.%d:80", n), Slots: 2,
		}}
	}
	f := New(Options{
		IP: "10.0.0.100", Zone: "a", Clock: clock.NewBootTime(),
		Conditions: partlyLinked{linked: []string{"10.0.0.1", "10.0.0.4"}}, Announcements: announced{},
	})
	fl := &flight{forwarder: f, request: &request{route: &routing.Route{}}, tried: make(map[string]bool)}
	ids := func() []string {
		_, usable := f.candidates(fl, endpoints)
		list := make([]string, len(usable))
		for n, e := range usable {
			list[n] = e.ID
		}
		return list
	}
	g.Expect(ids()).To(gomega.Equal([]string{"e1", "e4"}))
	fl.tried["e1"] = true
	g.Expect(ids()).To(gomega.Equal([]string{"e1", "e4"}))
	fl.tried["e4"] = true
	g.Expect(ids()).To(gomega.HaveLen(6))
	fl.tried = make(map[string]bool)
	f.options.Announcements = announced{"e1": {Limited: true, Limit: 1}, "e4": {Limited: true, Limit: 2}, "e5": {Leaving: true}}
	g.Expect(ids()).To(gomega.Equal([]string{"e1", "e4"}), "without a report there may be room")
	full := reports.ReceivedEndpoint{Endpoint: reports.Endpoint{Credit: -100}}
	f.options.Conditions = partlyLinked{linked: []string{"10.0.0.1", "10.0.0.4"}, reported: &full}
	g.Expect(ids()).To(gomega.Equal([]string{"e0", "e1", "e2", "e3", "e4"}))
	f.options.Announcements = announced{}
	f.options.Conditions = partlyLinked{}
	g.Expect(ids()).To(gomega.HaveLen(6))
}

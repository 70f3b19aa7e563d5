package operator_test

import (
	"bytes"
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/operator"
	"agatepulley.example/agatepulley/pkg/config"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	// A replayed failure file would make the verdict depend on earlier runs.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const window = time.Minute

// describe returns a fleet with one service on the given hosts. Host i is in zone i modulo 3.
func describe(previous *config.Document, hosts, draining []int) *operator.Fleet {
	fleet := operator.New(previous)
	desk := fleet.Service("desk").Floor(70).ClaimWindow(window)
	for _, i := range hosts {
		id := fmt.Sprintf("h%02d", i)
		host := fleet.Host(id, fmt.Sprintf("10.0.0.%d", i+1)).Zone(fmt.Sprintf("z%d", i%3))
		if slices.Contains(draining, i) {
			host.Drain()
		}
		desk.Endpoint("desk-"+id, id).Slots(3)
	}
	fleet.Route("charge", "/charges").To("desk").Methods("POST").RequireKey()
	return fleet
}

func drawHosts(t *rapid.T) []int {
	return rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 1, 12, rapid.ID[int]).Draw(t, "hosts")
}

// Guards against recorder groups that violate the conditions of at-most-once execution: two changes within two claim
// windows, a change that does not list the previous group or keeps the generation, an even group, a group that is
// exchanged without need, and a group that loses its majority with one zone although it could be spread.
func TestRecorderGroupsAcrossVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		now, changed := start, start
		var last *config.Document
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			hosts := drawHosts(t)
			draining := rapid.SliceOfN(rapid.SampledFrom(hosts), 0, 2).Draw(t, "draining")
			fleet := describe(last, hosts, draining).Now(now).RecordersPublished("desk", changed)
			document, err := fleet.Build()
			var recorder *operator.RecorderError
			if errors.As(err, &recorder) {
				continue
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			claims := document.Services[0].Claims
			g.Expect(len(claims.Recorders) % 2).To(gomega.Equal(1))
			if last == nil {
				g.Expect(claims.Generation).To(gomega.Equal(uint64(1)))
				last = document
				continue
			}
			before := last.Services[0].Claims
			g.Expect(document.Version.Compare(last.Version)).To(gomega.Equal(1))
			passed := now.Sub(changed) >= 2*window
			if slices.Equal(claims.Recorders, before.Recorders) {
				g.Expect(claims.Generation).To(gomega.Equal(before.Generation))
				if !passed {
					g.Expect(claims.Previous).To(gomega.Equal(before.Previous), "previous group dropped too early")
				}
			} else {
				g.Expect(len(before.Previous) == 0 || passed).To(gomega.BeTrue(), "second change too early")
				g.Expect(claims.Previous).To(gomega.Equal(before.Recorders))
				g.Expect(claims.Generation).To(gomega.Equal(before.Generation + 1))
				g.Expect(exchangedWithoutNeed(document, before.Recorders)).To(gomega.BeEmpty())
				changed = now
			}
			last = document
		}
	})
}

// exchangedWithoutNeed returns serving hosts that left the group although the group did not shrink.
func exchangedWithoutNeed(document *config.Document, before []string) []string {
	var lost []string
	claims := document.Services[0].Claims
	if len(claims.Recorders) < len(before) {
		return nil
	}
	for _, host := range document.Hosts {
		if !host.Draining && slices.Contains(before, host.ID) && !slices.Contains(claims.Recorders, host.ID) {
			lost = append(lost, host.ID)
		}
	}
	return lost
}

// Guards against a majority of the recorders in one zone, which the loss of that zone would take away.
func TestFirstGroupIsSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		document, err := describe(nil, drawHosts(t), nil).Build()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		group := document.Services[0].Claims.Recorders
		available, members := make(map[string]int), make(map[string]int)
		for _, host := range document.Hosts {
			available[host.Zone]++
			if slices.Contains(group, host.ID) {
				members[host.Zone]++
			}
		}
		for zone, count := range members {
			for other := range available {
				spare := available[other] > members[other]
				g.Expect(spare && count > members[other]+1).To(gomega.BeFalse(), "%s and %s", zone, other)
			}
		}
	})
}

// Guards against an operator who removes a recorder, or one of the previous group, while claims depend on it.
func TestRemovingARecorderIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := describe(nil, []int{0, 1, 2}, nil).Now(start).Build()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var recorder *operator.RecorderError
	_, err = describe(first, []int{0, 1, 3}, nil).Now(start).Build()
	g.Expect(errors.As(err, &recorder)).To(gomega.BeTrue(), "%v", err)
	g.Expect(recorder.Host).To(gomega.Equal("h02"))
	drained, err := describe(first, []int{0, 1, 2, 3}, []int{2}).Now(start).Build()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(drained.Services[0].Claims.Recorders).To(gomega.Equal([]string{"h00", "h01", "h03"}))
	early := start.Add(2*window - time.Second)
	_, err = describe(drained, []int{0, 1, 3}, nil).Now(early).RecordersPublished("desk", start).Build()
	g.Expect(errors.As(err, &recorder)).To(gomega.BeTrue(), "%v", err)
	_, err = describe(drained, []int{0, 1, 3}, nil).Now(start.Add(time.Hour)).Build()
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("RecordersPublished")))
	settled, err := describe(drained, []int{0, 1, 3}, nil).Now(start.Add(2*window)).RecordersPublished("desk", start).Build()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(settled.Services[0].Claims.Previous).To(gomega.BeEmpty())
	g.Expect(settled.Services[0].Claims.Generation).To(gomega.Equal(uint64(2)))
}

// Guards against a printed document that nodes reject or read differently.
func TestWrittenDocumentParses(t *testing.T) {
	g := gomega.NewWithT(t)
	document, err := describe(nil, []int{0, 1, 2}, nil).Build()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text bytes.Buffer
	g.Expect(operator.Write(&text, document)).To(gomega.Succeed())
	snapshot, err := config.Parse(text.Bytes())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(snapshot.Document()).To(gomega.Equal(document))
}

// Guards against errors of the description that are dropped, and against a version that does not increase.
func TestBuildReportsAllErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := describe(nil, []int{0, 1, 2}, nil).Epoch(3).Build()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Version).To(gomega.Equal(config.Version{Epoch: 3, Sequence: 1}))
	fleet := describe(first, []int{0, 1, 2}, nil).Epoch(2).DrainHost("h99").DrainEndpoint("desk-h99")
	fleet.Service("other").Floor(101)
	fleet.Route("odd", "/odd").To("other").Repeatable().Deadline(time.Microsecond)
	_, err = fleet.Build()
	for _, part := range []string{"epoch 2 is lower", `host "h99"`, `endpoint "desk-h99"`, "floor_percent: 101", "1µs"} {
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(part)))
	}
}

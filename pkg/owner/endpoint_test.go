package owner

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/admission"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
)

// Guards against a queue limit that a new configuration changes without effect.
func TestEndpointTakesOverNewSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	o := New(Options{Host: "h1", Backends: map[string]string{"e1": "127.0.0.1:1"}, Clock: clock.NewMonotonic()})
	offered := 0
	for _, perSlot := range []int{1, 3} {
		o.Update(config.NewSnapshot(&config.Document{
			Hosts: []config.Host{{ID: "h1"}},
			Services: []config.Service{{
				Name: "s", Admission: config.AdmissionSettings{QueuePerSlot: perSlot},
				Endpoints: []config.Endpoint{{ID: "e1", Host: "h1", Slots: 1}},
			}},
		}, ""))
		queue := o.endpoint("e1").queue
		for queue.Offer(0, admission.Item{ID: strconv.Itoa(offered), Deadline: time.Hour}).Verdict != admission.Refused {
			offered++
		}
		g.Expect(queue.Load().Queued).To(gomega.Equal(perSlot))
	}
}

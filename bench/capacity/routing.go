package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agatepulley.example/agatepulley/core/balance"
	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	// routingRounds is the number of decisions of one timed run.
	routingRounds = 20_000
	serviceTime   = 20 * time.Millisecond
)

// measureRouting measures one routing decision and one route look-up. Their sum at full size is the part of the added
// latency that grows with the configuration.
func measureRouting(_ context.Context, o *options) error {
	for _, endpoints := range []int{1, 10, 100, 1000, 10_000} {
		if err := measureDecision(o, endpoints); err != nil {
			return err
		}
	}
	for _, divisor := range divisors {
		if err := measureLookup(o, fullScale.routes/divisor); err != nil {
			return err
		}
	}
	return nil
}

// placer makes the calls that a view of pkg/ingress makes for each request.
type placer struct {
	random   *rand.Rand
	service  *config.Service
	hosts    []*config.Host
	detector *health.Detector
	inFlight []int
	local    int
	zone     string
	now      time.Duration
	token    uint64
}

func newPlacer(o *options, endpoints int) (*placer, error) {
	snapshot, err := config.FromDocument(newDocument(scale{hosts: 90, services: 1, endpoints: endpoints, routes: 1}))
	if err != nil {
		return nil, err
	}
	p := &placer{
		random:  rand.New(rand.NewPCG(o.Seed, uint64(endpoints))),
		service: snapshot.Service(serviceName(0)),
		zone:    zoneName(0),
	}
	p.detector = health.NewDetector(p.service.Name, health.Settings{})
	var list []health.Endpoint
	for i := range p.service.Endpoints {
		e := &p.service.Endpoints[i]
		host := snapshot.Host(e.Host)
		p.hosts = append(p.hosts, host)
		list = append(list, health.Endpoint{ID: e.ID, Slots: e.Slots, Zone: host.Zone})
	}
	p.local = max(endpoints/zones, 1)
	p.inFlight = make([]int, endpoints)
	p.detector.SetEndpoints(0, list, p.service.FloorPercent)
	return p, nil
}

func (p *placer) candidate(i int) balance.Candidate {
	e := &p.service.Endpoints[i]
	state := p.detector.View(p.now, e.ID)
	return balance.Candidate{
		ID: e.ID, Zone: p.hosts[i].Zone, Slots: e.Slots, InFlight: p.inFlight[i],
		Weight: state.Weight, LastResort: state.LastResort,
	}
}

// place chooses an endpoint, begins a request there and ends it.
func (p *placer) place() {
	p.detector.ReserveNextProbe(p.now)
	source := balance.Source{Local: p.local, Total: len(p.inFlight), At: p.candidate}
	i, _ := balance.ChooseFrom(p.random, balance.Settings{}, source, balance.Request{Zone: p.zone, Repeatable: true})
	p.token++
	id := p.service.Endpoints[i].ID
	p.detector.Begin(p.now, id, p.token, false)
	p.now += time.Second / 207
	latency := serviceTime/2 + time.Duration(p.random.Int64N(int64(serviceTime)))
	p.detector.End(p.now+latency, id, p.token, health.Success, latency)
	if p.token%20 == 0 {
		p.detector.Tick(p.now)
	}
}

func measureDecision(o *options, endpoints int) error {
	p, err := newPlacer(o, endpoints)
	if err != nil {
		return err
	}
	median, least, most, err := o.median(func() error {
		for range routingRounds {
			p.place()
		}
		return nil
	})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("routing decision with %d endpoints", endpoints)
	figure(name, median/routingRounds/1e3, unitMicros, "2400")
	figure(name+" least", least/routingRounds/1e3, unitMicros, noTarget)
	figure(name+" most", most/routingRounds/1e3, unitMicros, noTarget)
	return nil
}

func measureLookup(o *options, routes int) error {
	snapshot, err := config.FromDocument(newDocument(scale{hosts: 10, services: 100, endpoints: 100, routes: routes}))
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(routes)))
	paths := make([]string, 4096)
	for i := range paths {
		paths[i] = routePrefix(random.IntN(routes)) + "/item-1234567/details"
	}
	median, least, most, err := o.median(func() error {
		for i := range routingRounds {
			if route, _ := snapshot.Route("GET", paths[i%len(paths)]); route == nil {
				return fmt.Errorf("no route for %s", paths[i%len(paths)])
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("route look-up across %d routes", routes)
	figure(name, median/routingRounds/1e3, unitMicros, "2400")
	figure(name+" least", least/routingRounds/1e3, unitMicros, noTarget)
	figure(name+" most", most/routingRounds/1e3, unitMicros, noTarget)
	return nil
}

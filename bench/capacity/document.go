package main

import (
	"fmt"

	"agatepulley.example/agatepulley/pkg/config"
)

// scale is the number of entries of a document.
type scale struct {
	hosts, services, endpoints, routes, workspaces int
}

// fullScale is the design scale.
var fullScale = scale{hosts: 4200, services: 2700, endpoints: 52_000, routes: 46_000, workspaces: 320_000}

// Load of the design scale.
const (
	fullRequests = 870_000.0
	fullChanges  = 5_500.0
	// requestsPerNode is the share of one node.
	requestsPerNode = 207
	daySeconds      = 86_400.0
	zones           = 9
	regions         = 3
)

// divisors are the sizes of the measurements, as parts of the design scale.
var divisors = []int{8, 4, 2, 1}

func (s scale) part(divisor int) scale {
	return s.times(1, divisor)
}

// times returns the given fraction of a scale.
func (s scale) times(numerator, divisor int) scale {
	return scale{
		hosts:      max(s.hosts*numerator/divisor, recorders),
		services:   max(s.services*numerator/divisor, 1),
		endpoints:  max(s.endpoints*numerator/divisor, 1),
		routes:     max(s.routes*numerator/divisor, 1),
		workspaces: s.workspaces * numerator / divisor,
	}
}

// newDocument returns a document of the given scale with names of realistic length.
func newDocument(s scale) *config.Document {
	d := &config.Document{Format: config.Format, Version: config.Version{Epoch: 1, Sequence: 1}}
	for i := range s.hosts {
		d.Hosts = append(d.Hosts, config.Host{
			ID:      hostID(i),
			Address: fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255),
			Zone:    zoneName(i), Region: fmt.Sprintf("region-%d", i%regions),
			IngressPort: 7000, HopPort: 7001, PeerPort: 7002,
		})
	}
	for i := range s.services {
		d.Services = append(d.Services, newService(s, i))
	}
	for i := range s.routes {
		d.Routes = append(d.Routes, config.Route{
			ID:         fmt.Sprintf("route-%06d", i),
			PathPrefix: routePrefix(i),
			Methods:    []string{"GET", "HEAD"},
			Service:    serviceName(i % s.services),
			Repeatable: i%3 != 0,
			DeadlineMS: 5000,
		})
	}
	for i := range s.workspaces {
		d.Workspaces = append(d.Workspaces, config.Workspace{ID: fmt.Sprintf("workspace-%06d", i), MaxInFlight: i % 50})
	}
	return d
}

func newService(s scale, i int) config.Service {
	service := config.Service{
		Name:         serviceName(i),
		FloorPercent: 70,
		Claims:       config.ClaimSettings{Generation: 1},
		Endpoints:    []config.Endpoint{},
	}
	for j := range recorders {
		service.Claims.Recorders = append(service.Claims.Recorders, hostID((i+j)%s.hosts))
	}
	for j := i; j < s.endpoints; j += s.services {
		service.Endpoints = append(service.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("%s-%05d", serviceName(i), j), Host: hostID(j % s.hosts), Slots: 4,
		})
	}
	return service
}

func hostID(i int) string      { return fmt.Sprintf("host-%05d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func zoneName(i int) string    { return fmt.Sprintf("zone-%d", i%zones) }
func routePrefix(i int) string { return fmt.Sprintf("/area-%d/resource-%d", i%500, i) }

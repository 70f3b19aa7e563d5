package config_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/config"
)

// drawDocument draws a small valid document with ids from a small range, so that two draws share entries.
func drawDocument(t *rapid.T) *config.Document {
	document := &config.Document{
		Format:     config.Format,
		Version:    config.Version{Epoch: 1, Sequence: rapid.Uint64Range(1, 100).Draw(t, "sequence")},
		Hosts:      []config.Host{},
		Services:   []config.Service{},
		Routes:     []config.Route{},
		Workspaces: nil,
	}
	for _, i := range drawSet(t, "hosts", 1, 6) {
		document.Hosts = append(document.Hosts, config.Host{
			ID: fmt.Sprintf("h%d", i), Address: fmt.Sprintf("10.0.0.%d", i+1), Zone: fmt.Sprintf("z%d", i%3),
			IngressPort: 7000, HopPort: 7001, PeerPort: 7002, Draining: rapid.Bool().Draw(t, "draining"),
		})
	}
	for _, i := range drawSet(t, "services", 1, 4) {
		document.Services = append(document.Services, drawService(t, document, i))
	}
	for _, i := range drawSet(t, "routes", 0, 6) {
		document.Routes = append(document.Routes, config.Route{
			ID: fmt.Sprintf("r%d", i), PathPrefix: fmt.Sprintf("/p%d", i), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Service:    rapid.SampledFrom(document.Services).Draw(t, "service").Name,
			DeadlineMS: rapid.IntRange(0, 3).Draw(t, "deadline"),
		})
	}
	for _, i := range drawSet(t, "workspaces", 0, 6) {
		limit := rapid.IntRange(0, 2).Draw(t, "limit")
		document.Workspaces = append(document.Workspaces, config.Workspace{ID: fmt.Sprintf("w%d", i), MaxInFlight: limit})
	}
	return document
}

func drawService(t *rapid.T, document *config.Document, i int) config.Service {
	service := config.Service{
		Name:         fmt.Sprintf("s%d", i),
		FloorPercent: rapid.IntRange(0, 100).Draw(t, "floor"),
		Claims:       config.ClaimSettings{Generation: 1, Recorders: []string{document.Hosts[0].ID}},
		Endpoints:    []config.Endpoint{},
	}
	for _, j := range drawSet(t, "endpoints", 0, 3) {
		host := rapid.SampledFrom(document.Hosts).Draw(t, "host").ID
		id := fmt.Sprintf("s%d-e%d", i, j)
		service.Endpoints = append(service.Endpoints, config.Endpoint{ID: id, Host: host, Slots: 1 + j})
	}
	return service
}

// drawSet draws distinct numbers in increasing order.
func drawSet(t *rapid.T, label string, low, high int) []int {
	set := rapid.SliceOfNDistinct(rapid.IntRange(0, high), low, high, rapid.ID[int]).Draw(t, label)
	slices.Sort(set)
	return set
}

// shuffle returns the same content in another order.
func shuffle(t *rapid.T, document *config.Document) *config.Document {
	other := *document
	other.Hosts = rapid.Permutation(document.Hosts).Draw(t, "host order")
	other.Services = rapid.Permutation(document.Services).Draw(t, "service order")
	other.Routes = rapid.Permutation(document.Routes).Draw(t, "route order")
	other.Workspaces = rapid.Permutation(document.Workspaces).Draw(t, "workspace order")
	for i := range other.Services {
		other.Services[i].Endpoints = rapid.Permutation(other.Services[i].Endpoints).Draw(t, "endpoint order")
	}
	return &other
}

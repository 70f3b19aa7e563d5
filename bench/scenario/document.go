// Package scenario runs fleets of processes through faults while an ordinary HTTP client sends requests, and judges
// what callers were told against what ran.
package scenario

import (
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/load"
)

// Services of the document.
const (
	OrderDesk = "order-desk"
	ScanRoom  = "scan-room"
)

const (
	slots = 3
	// claimWindowMS is the shortest permitted window: all recorders of a new fleet abstain for one window.
	claimWindowMS  = 5000
	floorPercent   = 50
	deadlineMS     = 3000
	downloadMS     = 15000
	maxUploadBytes = 1 << 20
)

// Document returns a fleet of five hosts in two availability zones. Two services share some of the hosts. The recorders
// are on h1, h3 and h5.
func Document() *config.Document {
	claims := config.ClaimSettings{WindowMS: claimWindowMS, Generation: 1, Recorders: []string{"h1", "h3", "h5"}}
	return &config.Document{
		Format:  config.Format,
		Version: config.Version{Epoch: 1, Sequence: 1},
		Hosts: []config.Host{
			{ID: "h1", Zone: "z1"}, {ID: "h2", Zone: "z1"}, {ID: "h3", Zone: "z1"},
			{ID: "h4", Zone: "z2"}, {ID: "h5", Zone: "z2"},
		},
		Services: []config.Service{
			{Name: OrderDesk, FloorPercent: floorPercent, Claims: claims, Endpoints: []config.Endpoint{
				{ID: "order-1", Host: "h1", Slots: slots}, {ID: "order-2", Host: "h2", Slots: slots},
				{ID: "order-3", Host: "h3", Slots: slots}, {ID: "order-4", Host: "h4", Slots: slots},
			}},
			{Name: ScanRoom, FloorPercent: floorPercent, Claims: claims, Endpoints: []config.Endpoint{
				{ID: "scan-1", Host: "h2", Slots: slots}, {ID: "scan-2", Host: "h4", Slots: slots},
				{ID: "scan-3", Host: "h5", Slots: slots},
			}},
		},
		Routes: []config.Route{
			{ID: "status", PathPrefix: "/status", Methods: []string{"GET"}, Service: OrderDesk, Repeatable: true, DeadlineMS: deadlineMS},
			{ID: "charges", PathPrefix: "/charges", Methods: []string{"POST"}, Service: OrderDesk, KeyRequired: true, DeadlineMS: deadlineMS, MaxBodyBytes: maxUploadBytes},
			{ID: "notes", PathPrefix: "/notes", Methods: []string{"POST"}, Service: OrderDesk, DeadlineMS: deadlineMS, MaxBodyBytes: maxUploadBytes},
			{ID: "stock", PathPrefix: "/stock", Methods: []string{"GET"}, Service: ScanRoom, Repeatable: true, DeadlineMS: deadlineMS},
			{ID: "download", PathPrefix: "/download", Methods: []string{"GET"}, Service: ScanRoom, Repeatable: true, DeadlineMS: downloadMS, Class: config.ClassLong},
		},
	}
}

// Mix returns the requests of the demo: short ones, repeatable or not, with and without keys, some resent with the same
// key through another node, and downloads.
func Mix() []load.Kind {
	return []load.Kind{
		{Name: "status query", Weight: 50, Method: "GET", URI: "/status?ms=3&bytes=600", Repeatable: true, Check: true},
		{Name: "stock look-up", Weight: 20, Method: "GET", URI: "/stock?ms=2&bytes=300&chunked=1", Repeatable: true, Check: true},
		{Name: "charge, keyed", Weight: 15, Method: "POST", URI: "/charges?ms=5&bytes=200", BodyBytes: 400, Keyed: true, ResendPercent: 20, Check: true},
		{Name: "dispatch note", Weight: 10, Method: "POST", URI: "/notes?ms=5&bytes=100", BodyBytes: 1000, Check: true},
		{Name: "download", Weight: 1, Method: "GET", URI: "/download?ms=1200&bytes=300000", Repeatable: true, Check: true},
	}
}

// KeyedMix returns keyed requests only, each resent with the same key through another node. They take long enough that
// some are in flight whenever a process is killed.
func KeyedMix() []load.Kind {
	return []load.Kind{
		{Name: "charge, keyed", Weight: 1, Method: "POST", URI: "/charges?ms=40&bytes=200", BodyBytes: 400, Keyed: true, ResendPercent: 100, Check: true},
	}
}

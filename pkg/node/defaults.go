package node

import (
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/settings"
)

const (
	defaultEndpoint = "endpoint-1"
	defaultService  = "default"
	defaultSlots    = 16
	// defaultClaimWindowMS is short, since a lone recorder denies all claims for one window after each start.
	defaultClaimWindowMS = 5000
)

// embeddedDocument is the configuration of a node that runs alone: one service behind all paths. Requests may not be
// repeated, because nothing is known about them.
func embeddedDocument(s *settings.Settings) *config.Document {
	ip, port := settings.SplitAddress(s.Listen)
	_, hopPort := settings.SplitAddress(s.HopListen)
	_, peerPort := settings.SplitAddress(s.PeerListen)
	service := config.Service{
		Name:   defaultService,
		Claims: config.ClaimSettings{WindowMS: defaultClaimWindowMS, Generation: 1, Recorders: []string{s.HostID}},
	}
	for _, b := range s.BackendList() {
		id := b.Endpoint
		if id == "" {
			id = defaultEndpoint
		}
		service.Endpoints = append(service.Endpoints, config.Endpoint{ID: id, Host: s.HostID, Slots: defaultSlots})
	}
	return &config.Document{
		Format:  config.Format,
		Version: config.Version{Epoch: 1, Sequence: 1},
		Hosts: []config.Host{{
			ID: s.HostID, Address: ip, Zone: s.Zone, Region: s.Region, IngressPort: port, HopPort: hopPort, PeerPort: peerPort,
		}},
		Services: []config.Service{service},
		Routes:   []config.Route{{ID: "all", PathPrefix: "/", Service: defaultService}},
	}
}

// backends maps endpoint ids to the addresses of their backend servers.
func backends(s *settings.Settings) map[string]string {
	addresses := make(map[string]string)
	for _, b := range s.BackendList() {
		id := b.Endpoint
		if id == "" {
			id = defaultEndpoint
		}
		addresses[id] = b.Address
	}
	return addresses
}

package node

import (
	"encoding/json"
	"sort"
	"time"

	"agatepulley.example/agatepulley/pkg/admin"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
	"agatepulley.example/agatepulley/pkg/lifecycle"
)

// observeSummary takes what a peer says about its configuration.
func (n *Node) observeSummary(address string, raw json.RawMessage) {
	n.syncer.ObserveRaw(address, raw)
	var summary configstore.Summary
	if err := json.Unmarshal(raw, &summary); err != nil {
		return
	}
	if id, ok := n.hosts.IDByPeerAddress(address); ok {
		n.hosts.ObserveConfiguration(id, summary.Version, summary.Digest)
	}
}

// Readiness implements admin.ReadinessSource.
func (n *Node) Readiness() admin.Readiness {
	if state := n.State(); state != lifecycle.Serving {
		return admin.Readiness{Reason: string(state)}
	}
	return admin.Readiness{Ready: true}
}

// Status implements admin.StatusSource.
func (n *Node) Status() admin.Status {
	status := admin.Status{
		Node: admin.NodeStatus{
			Host: n.settings.HostID, Zone: n.settings.Zone, Region: n.settings.Region, Incarnation: n.incarnation,
			State: string(n.State()), StartedAt: n.started, InFlight: n.inFlight(),
		},
		Services: n.ingress.Status(),
	}
	snapshot := n.store.Current()
	if snapshot == nil {
		return status
	}
	status.Configuration = n.configurationStatus(snapshot)
	status.Hosts, status.Leaving = n.hostStatus(snapshot)
	status.Owned = n.ownedStatus(snapshot)
	return status
}

func (n *Node) configurationStatus(snapshot *config.Snapshot) admin.ConfigurationStatus {
	status := admin.ConfigurationStatus{Version: snapshot.Version(), Digest: snapshot.Digest(), ReadAgeSeconds: n.readAge().Seconds()}
	adoption := n.store.Adoption()
	status.Source, status.AgeSeconds = string(adoption.Source), time.Since(adoption.At).Seconds()
	for _, alarm := range n.store.Alarms() {
		status.Alarms = append(status.Alarms, admin.Alarm{
			Name:  "configuration-conflict",
			Since: alarm.Since,
			Text:  "version " + versionText(alarm.Version) + " in force " + alarm.InForce + ", rejected " + alarm.Rejected + " from " + string(alarm.Source),
		})
	}
	return status
}

func (n *Node) hostStatus(snapshot *config.Snapshot) ([]admin.HostStatus, []admin.LeavingStatus) {
	var hosts []admin.HostStatus
	var leaving []admin.LeavingStatus
	for _, host := range snapshot.Document().Hosts {
		state, since := n.hosts.State(host.ID)
		h := admin.HostStatus{Host: host.ID, Zone: host.Zone, Address: host.IngressAddress(), SecondsSinceContact: -1, Leaving: state.Leaving}
		if host.ID == n.settings.HostID {
			version := snapshot.Version()
			h.Incarnation, h.Version, h.Digest, h.SecondsSinceContact = n.incarnation, &version, snapshot.Digest(), 0
		} else if seen, ok := n.hosts.LastObservation(host.ID); ok {
			h.Incarnation, h.Version, h.Digest = seen.Incarnation, &seen.Version, seen.Digest
			h.SecondsSinceContact = time.Since(seen.ObservedAt).Seconds()
		}
		hosts = append(hosts, h)
		if state.Leaving {
			leaving = append(leaving, admin.LeavingStatus{Host: host.ID, Source: state.Source.String(), Since: since})
		}
	}
	return hosts, leaving
}

func (n *Node) ownedStatus(snapshot *config.Snapshot) []admin.OwnedStatus {
	var owned []admin.OwnedStatus
	addresses := backends(n.settings)
	for id, load := range n.owner.Loads() {
		ref, _ := snapshot.Endpoint(id)
		status := admin.OwnedStatus{
			ID: id, Address: addresses[id], State: string(load.State), Busy: load.Busy, Queued: load.Queued, Slots: load.Slots,
		}
		if ref.Service != nil {
			status.Service = ref.Service.Name
		}
		owned = append(owned, status)
	}
	sort.Slice(owned, func(a, b int) bool { return owned[a].ID < owned[b].ID })
	return owned
}

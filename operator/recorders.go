package operator

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"agatepulley.example/agatepulley/pkg/config"
)

// windowsBetweenChanges is the number of claim windows that must pass after a change of a recorder group before the
// previous group is dropped or the group changes again. After one window all claims that only the previous group
// recorded have expired; the second one covers nodes that adopt the change late.
const windowsBetweenChanges = 2

// RecorderError reports a host that cannot be removed because it still records idempotency keys of a service.
type RecorderError struct {
	Service string
	Host    string
	// Remedy says what the operator has to do before the host can be removed.
	Remedy string
}

// Error returns the reason and the remedy.
func (e *RecorderError) Error() string {
	return fmt.Sprintf("host %q records idempotency keys of service %q and must stay in the document: %s",
		e.Host, e.Service, e.Remedy)
}

// chooser fills in the recorders of the services of one document.
type chooser struct {
	fleet *Fleet
	hosts map[string]config.Host
	// keyed holds the services that have non-repeatable routes.
	keyed map[string]bool
	last  map[string]config.ClaimSettings
}

func newChooser(f *Fleet, document *config.Document) *chooser {
	c := &chooser{
		fleet: f,
		hosts: make(map[string]config.Host, len(document.Hosts)),
		keyed: make(map[string]bool),
		last:  make(map[string]config.ClaimSettings),
	}
	for _, host := range document.Hosts {
		c.hosts[host.ID] = host
	}
	for i := range document.Routes {
		if !document.Routes[i].Repeatable {
			c.keyed[document.Routes[i].Service] = true
		}
	}
	if f.previous != nil {
		for i := range f.previous.Services {
			c.last[f.previous.Services[i].Name] = f.previous.Services[i].Claims
		}
	}
	return c
}

// choose fills in the claims of a service: the recorder group, its generation and the previous group.
func (c *chooser) choose(service *config.Service) error {
	last := c.last[service.Name]
	claims := &service.Claims
	claims.Generation = last.Generation
	claims.Recorders = last.Recorders
	if len(last.Recorders) == 0 && !c.keyed[service.Name] {
		return nil
	}
	if settled, remedy := c.settled(service, last); !settled {
		claims.Previous = last.Previous
		return c.missing(service.Name, remedy, last.Recorders, last.Previous)
	}
	wanted := c.group(service, last.Recorders)
	if len(wanted) > 0 && !slices.Equal(wanted, sortedCopy(last.Recorders)) {
		claims.Recorders = wanted
		claims.Previous = last.Recorders
		claims.Generation++
	}
	const remedy = "drain it, publish, and remove it two claim windows later"
	return c.missing(service.Name, remedy, last.Recorders)
}

// settled reports whether the group may change, and otherwise what the operator has to do.
func (c *chooser) settled(service *config.Service, last config.ClaimSettings) (settled bool, remedy string) {
	if len(last.Previous) == 0 {
		return true, ""
	}
	published, known := c.fleet.published[service.Name]
	if !known {
		return false, "state with RecordersPublished when the last change of the group was published"
	}
	// If the window changes, claims of the longer one may still be alive.
	window := max(claimWindow(last), claimWindow(service.Claims))
	until := published.Add(windowsBetweenChanges * window)
	if c.fleet.now.Before(until) {
		return false, "the group changed less than two claim windows ago; wait until " + until.Format(time.RFC3339)
	}
	return true, ""
}

// missing returns an error if a host of the groups is not in the document.
func (c *chooser) missing(service, remedy string, groups ...[]string) error {
	for _, group := range groups {
		for _, id := range group {
			if _, known := c.hosts[id]; !known {
				return &RecorderError{Service: service, Host: id, Remedy: remedy}
			}
		}
	}
	return nil
}

func claimWindow(claims config.ClaimSettings) time.Duration {
	if claims.WindowMS == 0 {
		return config.DefaultClaimWindow
	}
	return config.Millis(claims.WindowMS)
}

// group returns an odd number of hosts of the service, at most five, in increasing order. It keeps hosts of the last
// group, and takes new ones from the zones that have the fewest members. It is empty if the service has no host.
func (c *chooser) group(service *config.Service, last []string) []string {
	candidates := c.candidates(service)
	size := min(len(candidates), config.MaxRecorders)
	if size > 0 && size%2 == 0 {
		size--
	}
	var group []config.Host
	for _, host := range candidates {
		if slices.Contains(last, host.ID) {
			group = append(group, host)
		}
	}
	for len(group) > size {
		group = slices.DeleteFunc(group, matches(mostCrowded(group)))
	}
	for len(group) < size {
		group = append(group, leastCrowded(candidates, group))
	}
	ids := make([]string, 0, len(group))
	for _, host := range group {
		ids = append(ids, host.ID)
	}
	slices.Sort(ids)
	return ids
}

// candidates returns the hosts that have endpoints of the service and are not draining, or those that are draining if
// there are no others. Their order is pseudo-random but stable for each service, so that services spread their
// recorders over the hosts of a zone.
func (c *chooser) candidates(service *config.Service) []config.Host {
	var serving, draining []config.Host
	seen := make(map[string]bool)
	for _, endpoint := range service.Endpoints {
		host, known := c.hosts[endpoint.Host]
		if !known || seen[host.ID] {
			continue
		}
		seen[host.ID] = true
		if host.Draining {
			draining = append(draining, host)
		} else {
			serving = append(serving, host)
		}
	}
	if len(serving) == 0 {
		serving = draining
	}
	slices.SortFunc(serving, func(a, b config.Host) int {
		return cmp.Or(cmp.Compare(rank(service.Name, a.ID), rank(service.Name, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return serving
}

func rank(service, host string) uint64 {
	sum := sha256.Sum256([]byte(service + "\x00" + host))
	return binary.BigEndian.Uint64(sum[:])
}

// mostCrowded returns the last host in the zone with the most members of the group.
func mostCrowded(group []config.Host) config.Host {
	members := countZones(group)
	crowded := group[0]
	for _, host := range group[1:] {
		if members[host.Zone] >= members[crowded.Zone] {
			crowded = host
		}
	}
	return crowded
}

// leastCrowded returns the first candidate outside the group from the zone with the fewest members of the group.
func leastCrowded(candidates, group []config.Host) config.Host {
	members := countZones(group)
	var chosen config.Host
	for _, host := range candidates {
		if slices.ContainsFunc(group, matches(host)) {
			continue
		}
		if chosen.ID == "" || members[host.Zone] < members[chosen.Zone] {
			chosen = host
		}
	}
	return chosen
}

func countZones(group []config.Host) map[string]int {
	members := make(map[string]int)
	for _, host := range group {
		members[host.Zone]++
	}
	return members
}

func matches(host config.Host) func(config.Host) bool {
	return func(other config.Host) bool { return other.ID == host.ID }
}

func sortedCopy(ids []string) []string {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return ids
}

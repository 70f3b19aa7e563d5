package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Limits of the values in a document. MaxBodyLimit, MaxIDLength and MaxPrefixLength are in bytes. MaxInFlight is the
// largest limit on the requests in flight of a workspace.
const (
	MaxSlots        = 1024
	MaxRecorders    = 5
	MaxIDLength     = 128
	MaxPort         = 65535
	MinClaimWindow  = 5 * time.Second
	MaxClaimWindow  = time.Hour
	MaxDeadline     = 24 * time.Hour
	MaxBodyLimit    = 64 << 30
	MaxInFlight     = 1_000_000
	MaxPrefixLength = 1024
)

// Validate checks the content of a document. It returns an *InvalidError with all errors, or nil.
func Validate(document *Document) error {
	c := checker{
		document: document,
		hosts:    make(map[string]int, len(document.Hosts)),
		services: make(map[string]int, len(document.Services)),
	}
	c.header()
	c.checkHosts()
	c.checkServices()
	c.checkRoutes()
	c.checkWorkspaces()
	if len(c.fields) > 0 {
		return &InvalidError{Fields: c.fields}
	}
	return nil
}

// checker collects the errors of one document.
type checker struct {
	document *Document
	fields   []FieldError
	// hosts and services hold the index of each entry by its id or name.
	hosts    map[string]int
	services map[string]int
}

func (c *checker) report(at path, value any, reason, valid string) {
	field := FieldError{Path: at.String(), Reason: reason, Valid: valid}
	switch value := value.(type) {
	case nil:
	case string:
		field.Value = strconv.Quote(value)
	default:
		field.Value = fmt.Sprint(value)
	}
	c.fields = append(c.fields, field)
}

func (c *checker) header() {
	if c.document.Format != Format {
		c.report(root("format"), c.document.Format, "is not a supported format", strconv.Quote(Format))
	}
	if c.document.Version == (Version{}) {
		c.report(root("version"), nil, "is zero", "an epoch or sequence of 1 or more")
	}
}

func (c *checker) checkHosts() {
	list := root("hosts")
	listeners := make(map[string]string, 3*len(c.document.Hosts))
	for i := range c.document.Hosts {
		host := &c.document.Hosts[i]
		at := list.at(i)
		c.uniqueID(at.field("id"), host.ID, c.hosts, i)
		c.name(at.field("zone"), host.Zone)
		if host.Region != "" {
			c.name(at.field("region"), host.Region)
		}
		address := c.address(at.field("address"), host.Address)
		c.listener(at.field("ingress_port"), address, host.IngressPort, listeners)
		c.listener(at.field("hop_port"), address, host.HopPort, listeners)
		c.listener(at.field("peer_port"), address, host.PeerPort, listeners)
	}
}

func (c *checker) address(at path, value string) string {
	address, err := netip.ParseAddr(value)
	switch {
	case err != nil:
		c.report(at, value, "is not an IP address; names are not resolved", "an IPv4 or IPv6 address")
	case address.IsUnspecified() || address.IsMulticast() || address.Zone() != "":
		c.report(at, value, "is not the address of one host", "a unicast IP address without a zone")
	default:
		return address.Unmap().String()
	}
	return ""
}

// listener checks a port and rejects one that another listener uses on the same address. The map holds the id of the
// host of each listener by address and port.
func (c *checker) listener(at path, address string, port int, listeners map[string]string) {
	if port < 1 || port > MaxPort {
		c.report(at, port, "is out of range", "1 to 65535")
		return
	}
	if address == "" {
		return
	}
	key := address + "|" + strconv.Itoa(port)
	if other, taken := listeners[key]; taken {
		c.report(at, port, "is already used on this address by host "+strconv.Quote(other), "a port of its own")
		return
	}
	listeners[key] = c.document.Hosts[at.parent.index].ID
}

func (c *checker) checkServices() {
	list := root("services")
	endpoints := make(map[string]int)
	for i := range c.document.Services {
		service := &c.document.Services[i]
		at := list.at(i)
		c.uniqueID(at.field("name"), service.Name, c.services, i)
		c.intRange(at.field("floor_percent"), service.FloorPercent, 0, 100)
		c.settings(&at, service)
		c.claims(at.field("claims"), &service.Claims)
		c.endpoints(at.field("endpoints"), service.Endpoints, endpoints)
	}
}

func (c *checker) endpoints(list path, endpoints []Endpoint, seen map[string]int) {
	for i := range endpoints {
		endpoint := &endpoints[i]
		at := list.at(i)
		c.uniqueID(at.field("id"), endpoint.ID, seen, i)
		c.intRange(at.field("slots"), endpoint.Slots, 1, MaxSlots)
		c.knownHost(at.field("host"), endpoint.Host)
	}
}

func (c *checker) settings(at *path, service *Service) {
	full := service.WithDefaults()
	health := at.field("health")
	c.floatSetting(health.field("suspect_score"), service.Health.SuspectScore, 0.5, 1000)
	c.floatSetting(health.field("eject_score"), service.Health.EjectScore, 0.5, 1000)
	if full.Health.EjectScore < full.Health.SuspectScore {
		c.report(health.field("eject_score"), full.Health.EjectScore, "is lower than suspect_score",
			fmt.Sprintf("%v or more", full.Health.SuspectScore))
	}
	c.millisSetting(health.field("hold_off_ms"), service.Health.HoldOffMS, 100*time.Millisecond, time.Hour)
	c.millisSetting(health.field("hold_off_max_ms"), service.Health.HoldOffMaxMS, 100*time.Millisecond, 24*time.Hour)
	if full.Health.HoldOffMaxMS < full.Health.HoldOffMS {
		c.report(health.field("hold_off_max_ms"), full.Health.HoldOffMaxMS, "is lower than hold_off_ms",
			fmt.Sprintf("%d or more", full.Health.HoldOffMS))
	}
	c.millisSetting(health.field("ramp_ms"), service.Health.RampMS, time.Millisecond, time.Hour)
	admission := at.field("admission")
	c.intSetting(admission.field("queue_per_slot"), service.Admission.QueuePerSlot, 1, 1024)
	c.intSetting(admission.field("long_reserve"), service.Admission.LongReserve, 1, MaxSlots)
	c.millisSetting(admission.field("long_after_ms"), service.Admission.LongAfterMS, time.Millisecond, time.Hour)
	retry := at.field("retry")
	c.intSetting(retry.field("budget_percent"), service.Retry.BudgetPercent, 1, 100)
	c.intSetting(retry.field("max_attempts"), service.Retry.MaxAttempts, 1, 10)
	balance := at.field("balance")
	c.intSetting(balance.field("zone_slack_percent"), service.Balance.ZoneSlackPercent, 1, 1000)
	quarantine := at.field("quarantine")
	c.millisSetting(quarantine.field("period_ms"), service.Quarantine.PeriodMS, time.Second, 24*time.Hour)
	// A request that crashes backend servers must not crash more than two of them.
	c.intSetting(quarantine.field("max_crashes"), service.Quarantine.MaxCrashes, 1, DefaultMaxCrashes)
}

func (c *checker) claims(at path, claims *ClaimSettings) {
	c.millisSetting(at.field("window_ms"), claims.WindowMS, MinClaimWindow, MaxClaimWindow)
	c.group(at.field("recorders"), claims.Recorders)
	c.group(at.field("previous"), claims.Previous)
	if len(claims.Recorders) > 0 && claims.Generation == 0 {
		c.report(at.field("generation"), claims.Generation, "is zero although recorders are listed", "1 or more")
	}
	if len(claims.Previous) == 0 {
		return
	}
	if len(claims.Recorders) == 0 {
		c.report(at.field("recorders"), nil, "is empty although previous recorders are listed", "")
	}
	if claims.Generation < 2 {
		c.report(at.field("generation"), claims.Generation, "leaves no room for the previous group", "2 or more")
	}
}

// group checks a recorder group. Its size is odd so that a network partition into two parts leaves a majority in one of
// them.
func (c *checker) group(list path, hosts []string) {
	if len(hosts) > MaxRecorders || len(hosts) > 0 && len(hosts)%2 == 0 {
		c.report(list, fmt.Sprintf("%d hosts", len(hosts)), "is not a valid group size", "1, 3 or 5 hosts, or none")
	}
	for i, host := range hosts {
		at := list.at(i)
		c.knownHost(at, host)
		for _, other := range hosts[:i] {
			if other == host {
				c.report(at, host, "is listed twice", "each host once")
				break
			}
		}
	}
}

func (c *checker) checkRoutes() {
	list := root("routes")
	ids := newIDIndex(c.document.Routes, routeID)
	overlaps := newOverlapIndex(len(c.document.Routes))
	for i := range c.document.Routes {
		route := &c.document.Routes[i]
		at := list.at(i)
		c.uniqueID(at.field("id"), route.ID, ids, i)
		c.prefix(at.field("path_prefix"), route.PathPrefix)
		c.methods(at.field("methods"), route.Methods)
		c.overlap(&at, route, overlaps.add(route.PathPrefix, i), overlaps)
		c.routeService(&at, route)
		c.millisSetting(at.field("deadline_ms"), route.DeadlineMS, time.Millisecond, MaxDeadline)
		if route.MaxBodyBytes < 0 || route.MaxBodyBytes > MaxBodyLimit {
			c.report(at.field("max_body_bytes"), route.MaxBodyBytes, "is out of range",
				fmt.Sprintf("1 to %d, or 0 for the default", int64(MaxBodyLimit)))
		}
		c.class(at.field("class"), route.Class)
	}
}

func (c *checker) prefix(at path, prefix string) {
	const valid = `a path that starts with "/"`
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.report(at, prefix, `does not start with "/"`, valid)
	case len(prefix) > MaxPrefixLength:
		c.report(at, prefix, "is too long", fmt.Sprintf("%d bytes or fewer", MaxPrefixLength))
	case strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == '?' || r == '#' || r == 0x7f }):
		c.report(at, prefix, "contains a character that no path has", valid)
	}
}

func (c *checker) methods(list path, methods []string) {
	for i, method := range methods {
		at := list.at(i)
		if method == "" || strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) {
			c.report(at, method, "is not a request method", "capital letters, such as GET")
		}
		for _, other := range methods[:i] {
			if other == method {
				c.report(at, method, "is listed twice", "each method once")
				break
			}
		}
	}
}

// overlapIndex links the routes of each path prefix in a list. The links of all lists share one slice, which needs less
// memory than a slice per prefix.
type overlapIndex struct {
	// last holds the index of the last route of each prefix.
	last map[string]int
	// previous holds, for each route, the index of the route before it with the same prefix, or noIndex.
	previous []int
}

func newOverlapIndex(size int) *overlapIndex {
	return &overlapIndex{last: make(map[string]int, size), previous: make([]int, 0, size)}
}

// add appends the next route and returns the index of the route before it with the same prefix, or noIndex.
func (o *overlapIndex) add(prefix string, index int) int {
	previous, ok := o.last[prefix]
	if !ok {
		previous = noIndex
	}
	o.last[prefix] = index
	o.previous = append(o.previous, previous)
	return previous
}

// overlap rejects a route if an earlier one accepts the same path and method, because the choice between them would
// depend on their order. The earlier routes with the same prefix start at the index first.
func (c *checker) overlap(at *path, route *Route, first int, index *overlapIndex) {
	for i := first; i != noIndex; i = index.previous[i] {
		other := &c.document.Routes[i]
		if !methodsOverlap(route, other) {
			continue
		}
		c.report(at.field("path_prefix"), route.PathPrefix,
			"accepts requests that route "+strconv.Quote(other.ID)+" also accepts", "another prefix or other methods")
		return
	}
}

func methodsOverlap(a, b *Route) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	for _, method := range a.Methods {
		if b.Accepts(method) {
			return true
		}
	}
	return false
}

func (c *checker) routeService(at *path, route *Route) {
	if route.KeyRequired && route.Repeatable {
		c.report(at.field("key_required"), route.KeyRequired, "is set on a repeatable route",
			"false, or repeatable: false")
	}
	index, ok := c.services[route.Service]
	if !ok {
		c.report(at.field("service"), route.Service, "is not a service of the document", "the name of a service")
		return
	}
	if !route.Repeatable && len(c.document.Services[index].Claims.Recorders) == 0 {
		c.report(at.field("repeatable"), route.Repeatable,
			fmt.Sprintf("needs recorders, but services[%d].claims.recorders is empty", index),
			"true, or a service with 1, 3 or 5 recorders")
	}
}

func (c *checker) class(at path, class Class) {
	switch class {
	case "", ClassAuto, ClassShort, ClassLong:
	default:
		c.report(at, string(class), "is not a class", `"auto", "short" or "long"`)
	}
}

func (c *checker) checkWorkspaces() {
	list := root("workspaces")
	ids := newIDIndex(c.document.Workspaces, workspaceID)
	for i := range c.document.Workspaces {
		workspace := &c.document.Workspaces[i]
		at := list.at(i)
		c.uniqueID(at.field("id"), workspace.ID, ids, i)
		c.intRange(at.field("max_in_flight"), workspace.MaxInFlight, 0, MaxInFlight)
	}
}

// uniqueID checks an id and records its index in seen. If seen is nil, no id is repeated.
func (c *checker) uniqueID(at path, id string, seen map[string]int, index int) {
	c.name(at, id)
	if seen == nil {
		return
	}
	if _, exists := seen[id]; exists {
		if id != "" {
			c.report(at, id, "is used more than once", "a unique value")
		}
		return
	}
	seen[id] = index
}

// newIDIndex returns the map in which uniqueID records ids. It is nil if the ids strictly increase, as in a canonical
// document: then none is repeated and the map would only use memory.
func newIDIndex[T any](entries []T, id func(*T) string) map[string]int {
	if increasing(entries, id, false) {
		return nil
	}
	return make(map[string]int, len(entries))
}

// name checks an identifier. Its characters are restricted because identifiers appear in header fields, log lines and
// file names.
func (c *checker) name(at path, id string) {
	const valid = "1 to 128 letters, digits or any of . _ : @ - [ ]"
	switch {
	case id == "":
		c.report(at, nil, "is missing", valid)
	case len(id) > MaxIDLength:
		c.report(at, id, "is too long", valid)
	default:
		if strings.ContainsFunc(id, func(r rune) bool { return r > unicode.MaxASCII || !nameBytes[r] }) {
			c.report(at, id, "contains a character that is not allowed", valid)
		}
	}
}

// nameBytes marks the ASCII characters of identifiers.
var nameBytes = func() (table [unicode.MaxASCII + 1]bool) {
	for _, b := range "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:@-[]" {
		table[b] = true
	}
	return table
}()

func (c *checker) knownHost(at path, id string) {
	if _, ok := c.hosts[id]; !ok {
		c.report(at, id, "is not a host of the document", "the id of a host")
	}
}

func (c *checker) intRange(at path, value, low, high int) {
	if value < low || value > high {
		c.report(at, value, "is out of range", fmt.Sprintf("%d to %d", low, high))
	}
}

// intSetting checks a setting whose zero value means the default.
func (c *checker) intSetting(at path, value, low, high int) {
	if value != 0 && (value < low || value > high) {
		c.report(at, value, "is out of range", fmt.Sprintf("%d to %d, or 0 for the default", low, high))
	}
}

func (c *checker) millisSetting(at path, value int, low, high time.Duration) {
	c.intSetting(at, value, int(low.Milliseconds()), int(high.Milliseconds()))
}

func (c *checker) floatSetting(at path, value, low, high float64) {
	// The comparison is written so that it also rejects NaN.
	if value != 0 && !(value >= low && value <= high) {
		c.report(at, value, "is out of range", fmt.Sprintf("%v to %v, or 0 for the default", low, high))
	}
}

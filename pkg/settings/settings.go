// Package settings reads and checks the static settings of a node: flags and AGATEPULLEY_* environment variables.
// Values that operators change while the fleet runs belong to the published configuration instead.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	flags "github.com/jessevdk/go-flags"
)

// Settings are the settings of one node.
type Settings struct {
	Listen      string `long:"listen" env:"AGATEPULLEY_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:8080" description:"address for callers"`
	HopListen   string `long:"hop-listen" env:"AGATEPULLEY_HOP_LISTEN" value-name:"IP:PORT" description:"address for requests of other nodes (default: the port after --listen)"`
	PeerListen  string `long:"peer-listen" env:"AGATEPULLEY_PEER_LISTEN" value-name:"IP:PORT" description:"address for the peer protocol (default: the second port after --listen)"`
	AdminListen string `long:"admin-listen" env:"AGATEPULLEY_ADMIN_LISTEN" value-name:"IP:PORT" description:"address for status, readiness and metrics (default: the third port after --listen)"`

	HostID string `long:"host-id" env:"AGATEPULLEY_HOST_ID" value-name:"ID" default:"host-1" description:"id of this host in the configuration"`
	Zone   string `long:"zone" env:"AGATEPULLEY_ZONE" value-name:"NAME" default:"zone-1" description:"availability zone of this host"`
	Region string `long:"region" env:"AGATEPULLEY_REGION" value-name:"NAME" description:"region of this host"`

	Backends []string `long:"backend" env:"AGATEPULLEY_BACKENDS" env-delim:"," value-name:"[ENDPOINT=]IP:PORT" description:"backend server of this host; may be given several times"`

	ConfigService string   `long:"config-service" env:"AGATEPULLEY_CONFIG_SERVICE" value-name:"IP:PORT" description:"configuration service"`
	HostList      string   `long:"host-list" env:"AGATEPULLEY_HOST_LIST" value-name:"IP:PORT" description:"list of live and leaving hosts"`
	SeedPeers     []string `long:"seed-peer" env:"AGATEPULLEY_SEED_PEERS" env-delim:"," value-name:"IP:PORT" description:"peer listener of another node, asked at start; may be given several times"`

	DrainTimeout time.Duration `long:"drain-timeout" env:"AGATEPULLEY_DRAIN_TIMEOUT" value-name:"DURATION" default:"15m" description:"longest wait for requests in flight at a planned stop"`
	DrainNotice  time.Duration `long:"drain-notice" env:"AGATEPULLEY_DRAIN_NOTICE" value-name:"DURATION" default:"3s" description:"time for which callers that keep arriving are still served at a planned stop"`

	ZoneTrafficCost   time.Duration `long:"zone-traffic-cost" env:"AGATEPULLEY_ZONE_TRAFFIC_COST" value-name:"DURATION" default:"5ms" description:"wait that a caller should bear rather than move a kilobyte to another zone of the region; counts where there are several regions"`
	RegionTrafficCost time.Duration `long:"region-traffic-cost" env:"AGATEPULLEY_REGION_TRAFFIC_COST" value-name:"DURATION" default:"50ms" description:"the same for a kilobyte to another region"`

	// SiteSettings names the settings file of a platform on which endpoints register themselves. The addresses in it
	// replace those above.
	SiteSettings string `long:"site-settings" env:"AGATEPULLEY_SETTINGS" value-name:"FILE" description:"settings file of the platform; the node then joins the fleet of its registered endpoints"`

	MemoryMB int `long:"memory-mb" env:"AGATEPULLEY_MEMORY_MB" value-name:"MB" default:"160" description:"memory that the host leaves to the process; limits what clients can make it keep (with --site-settings the file may name another)"`

	LogFormat string `long:"log-format" env:"AGATEPULLEY_LOG_FORMAT" choice:"json" choice:"text" default:"json" description:"format of the log"`
	LogLevel  string `long:"log-level" env:"AGATEPULLEY_LOG_LEVEL" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"lowest level that is logged"`

	CheckSettings bool `long:"check-settings" description:"check the settings and exit"`
}

// Backend is a backend server of the host. Endpoint is its ID in the configuration, or empty if the flag does not give
// one.
type Backend struct {
	Endpoint string
	Address  string
}

// HelpError is returned when the arguments request the help text. Its message is that text.
type HelpError struct {
	Text string
}

// Error implements the error interface.
func (e *HelpError) Error() string {
	return e.Text
}

// Problem is one setting with an invalid value.
type Problem struct {
	Flag  string
	Value string
	// Valid describes the valid values.
	Valid string
}

// Error implements the error interface.
func (p Problem) Error() string {
	return fmt.Sprintf("--%s: %q is not valid; valid is %s", p.Flag, p.Value, p.Valid)
}

// Parse reads the settings from arguments and the environment and checks them. The error joins all problems found.
func Parse(args []string) (*Settings, error) {
	s := &Settings{}
	parser := flags.NewNamedParser("agatepulley", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs one node of the agatepulley proxy fleet beside the backend servers of a host."
	if _, err := parser.AddGroup("Settings", "", s); err != nil {
		return nil, err
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return nil, &HelpError{Text: flagErr.Message}
	}
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Standalone reports whether the node runs with the embedded configuration, without configuration service and peers.
func (s *Settings) Standalone() bool {
	return s.ConfigService == "" && len(s.SeedPeers) == 0
}

// BackendList returns the backend servers of the host.
func (s *Settings) BackendList() []Backend {
	list := make([]Backend, 0, len(s.Backends))
	for _, text := range s.Backends {
		endpoint, address, named := strings.Cut(text, "=")
		if !named {
			endpoint, address = "", text
		}
		list = append(list, Backend{Endpoint: endpoint, Address: address})
	}
	return list
}

const (
	validAddress  = "an IP address and a port, such as 192.0.2.7:8080 or [2001:db8::7]:8080"
	validID       = "1 to 64 letters, digits, '-', '_' or '.'"
	validBackend  = "ENDPOINT=IP:PORT; IP:PORT alone only for a single backend without --config-service and --seed-peer"
	validDuration = "0 to 24h"
	validCost     = "0 to 1m"
	maxIDLength   = 64
	validMemory   = "64 to 1048576"
	minMemoryMB   = 64
	maxMemoryMB   = 1 << 20
	maxCost       = time.Minute
	maxDuration   = 24 * time.Hour
	// maxPortOffset is the distance from the port of --listen to the last port derived from it.
	maxPortOffset = 3
)

func (s *Settings) check() error {
	var problems []error
	report := func(ok bool, flag, value, valid string) {
		if !ok {
			problems = append(problems, Problem{Flag: flag, Value: value, Valid: valid})
		}
	}
	s.derivePorts()
	addresses := []struct{ flag, value string }{
		{"listen", s.Listen}, {"hop-listen", s.HopListen}, {"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen},
	}
	flagOf := make(map[string]string) // by address
	for _, a := range addresses {
		report(validAddressPort(a.value), a.flag, a.value, validAddress)
		other, used := flagOf[a.value]
		report(!used || a.value == "", a.flag, a.value, "an address other than that of --"+other)
		flagOf[a.value] = a.flag
	}
	report(validName(s.HostID), "host-id", s.HostID, validID)
	report(validName(s.Zone), "zone", s.Zone, validID)
	report(s.Region == "" || validName(s.Region), "region", s.Region, validID)
	report(s.ConfigService == "" || validAddressPort(s.ConfigService), "config-service", s.ConfigService, validAddress)
	report(s.HostList == "" || validAddressPort(s.HostList), "host-list", s.HostList, validAddress)
	for _, peer := range s.SeedPeers {
		report(validAddressPort(peer), "seed-peer", peer, validAddress)
	}
	s.checkBackends(report)
	report(s.MemoryMB >= minMemoryMB && s.MemoryMB <= maxMemoryMB, "memory-mb", strconv.Itoa(s.MemoryMB), validMemory)
	report(validTrafficCost(s.ZoneTrafficCost), "zone-traffic-cost", s.ZoneTrafficCost.String(), validCost)
	report(validTrafficCost(s.RegionTrafficCost), "region-traffic-cost", s.RegionTrafficCost.String(), validCost)
	report(validDrainPeriod(s.DrainTimeout), "drain-timeout", s.DrainTimeout.String(), validDuration)
	report(validDrainPeriod(s.DrainNotice), "drain-notice", s.DrainNotice.String(), validDuration)
	return errors.Join(problems...)
}

func (s *Settings) checkBackends(report func(ok bool, flag, value, valid string)) {
	endpoints := make(map[string]bool)
	for n, backend := range s.BackendList() {
		unnamed := backend.Endpoint == "" && s.Standalone() && len(s.Backends) == 1
		named := validName(backend.Endpoint)
		report((unnamed || named) && validAddressPort(backend.Address), "backend", s.Backends[n], validBackend)
		report(!endpoints[backend.Endpoint], "backend", s.Backends[n], "an endpoint that no other --backend names")
		endpoints[backend.Endpoint] = true
	}
}

// derivePorts sets each listen address that was not given to the IP address of --listen and one of the next ports.
func (s *Settings) derivePorts() {
	base, err := netip.ParseAddrPort(s.Listen)
	if err != nil || base.Port() == 0 || int(base.Port())+maxPortOffset > 65535 {
		return
	}
	for n, listen := range []*string{&s.HopListen, &s.PeerListen, &s.AdminListen} {
		if *listen == "" {
			*listen = netip.AddrPortFrom(base.Addr(), base.Port()+uint16(n)+1).String()
		}
	}
}

func validAddressPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// validDrainPeriod reports whether a duration is within validDuration.
func validDrainPeriod(d time.Duration) bool {
	return d >= 0 && d <= maxDuration
}

// validTrafficCost reports whether a duration is within validCost.
func validTrafficCost(d time.Duration) bool {
	return d >= 0 && d <= maxCost
}

// validName reports whether a text is an ID or name as validID describes it.
func validName(text string) bool {
	if text == "" || len(text) > maxIDLength {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return true
}

// SplitAddress returns the IP address and the port of an address that Parse has checked, or zero values if it is
// invalid.
func SplitAddress(address string) (ip string, port int) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", 0
	}
	return parsed.Addr().String(), int(parsed.Port())
}

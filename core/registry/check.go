package registry

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

const (
	// maxTextBytes bounds the id, the service, the zone and the version, which are sent in headers and datagrams.
	maxTextBytes = 200
	// maxSlots is the largest number of slots. An endpoint has a connection for each request, and not that many descriptors.
	maxSlots = 4096
	// maxWarmUp is the longest warm-up time.
	maxWarmUp = time.Hour
	// maxStartedAtMS is the latest start time, in the year 4199.
	maxStartedAtMS = 1 << 46
)

// Check returns an error for each value that no endpoint can have. An entry with such a value names no endpoint to use.
func (e *Entry) Check() error {
	var problems []error
	report := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	report(e.ID != "" && isPrintable(e.ID) && !strings.Contains(e.ID, " "), "id %.64q is empty, too long or not printable", e.ID)
	report(e.Service != "" && isPrintable(e.Service), "service %.64q is missing, too long or not printable", e.Service)
	report(e.Zone != "" && isPrintable(e.Zone), "zone %.64q is missing, too long or not printable", e.Zone)
	report(isPrintable(e.Software), "version %.64q is too long or not printable", e.Software)
	report(isReachable(e.Address), "address %.64q is not an IPv4 address of one host and a port", e.Address)
	report(e.Slots >= 1 && e.Slots <= maxSlots, "%d slots are not between 1 and %d", e.Slots, maxSlots)
	report(e.WarmUp >= 0 && e.WarmUp <= maxWarmUp, "warm-up time %v is not between 0 and %v", e.WarmUp, maxWarmUp)
	report(e.StartedAtMS >= 0 && e.StartedAtMS <= maxStartedAtMS, "start time %d ms is not between 0 and %d ms", e.StartedAtMS, int64(maxStartedAtMS))
	return errors.Join(problems...)
}

// isPrintable reports whether a text is not too long and holds printable ASCII characters only.
func isPrintable(text string) bool {
	return len(text) <= maxTextBytes && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
}

// isReachable reports whether an address names one host and a port in the form in which nodes compare addresses.
func isReachable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.String() != address {
		return false
	}
	ip := parsed.Addr()
	return ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

package reports

import (
	"net/netip"
	"slices"
)

// noticeMark is the first byte of a notice. It is not used by the encoding of reports, so that nodes which do not know
// notices discard them.
const noticeMark = 0xc1

// Broadcast sends a notice to all linked hosts. Notices are passed to Options.Notice there; like reports they may be lost.
func (s *Service) Broadcast(notice []byte) {
	for _, to := range s.linkedAddresses() {
		s.sendNotice(to, notice)
	}
}

// SendNext sends a notice to one linked host, to each of them in turn.
func (s *Service) SendNext(notice []byte) {
	addresses := s.linkedAddresses()
	if len(addresses) == 0 {
		return
	}
	s.sendNotice(addresses[s.noticeTurn.Add(1)%uint64(len(addresses))], notice)
}

// SendTo sends a notice to a host.
func (s *Service) SendTo(ip string, notice []byte) {
	if address, err := netip.ParseAddr(ip); err == nil {
		s.sendNotice(netip.AddrPortFrom(address, uint16(s.options.Port)), notice)
	}
}

// linkedAddresses returns the addresses of the linked hosts in a fixed order.
func (s *Service) linkedAddresses() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []netip.AddrPort
	for _, h := range s.hosts {
		if h.linked {
			addresses = append(addresses, h.address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

func (s *Service) sendNotice(to netip.AddrPort, notice []byte) {
	// A datagram that cannot be sent is treated as lost.
	_, _ = s.conn.WriteToUDPAddrPort(append([]byte{noticeMark}, notice...), to)
}

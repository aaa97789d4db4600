package handover

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

// The protocol on a connection to a peer: the peer sends Accepted, or closes the connection before it has
// received a byte. The instance then sends a preamble and the bytes of its caller.
const (
	Accepted = 'A'
	// PreambleBytes is the size of a preamble: the magic, the caller's IP address in its 16-byte form,
	// and its port.
	PreambleBytes = 4 + 16 + 2
	magic         = "MHO1"
)

// AppendPreamble appends the preamble for a caller's address.
func AppendPreamble(b []byte, caller netip.AddrPort) []byte {
	ip := caller.Addr().As16()
	b = append(append(b, magic...), ip[:]...)
	return binary.BigEndian.AppendUint16(b, caller.Port())
}

// ParsePreamble returns the caller's address.
func ParsePreamble(b []byte) (netip.AddrPort, error) {
	if len(b) != PreambleBytes || string(b[:len(magic)]) != magic {
		return netip.AddrPort{}, errors.Errorf("hand-over: preamble %x is not one of this protocol", b)
	}
	ip := netip.AddrFrom16([16]byte(b[len(magic) : len(magic)+16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[len(magic)+16:])), nil
}

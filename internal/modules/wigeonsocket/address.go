package wigeonsocket

import (
	"errors"
	"net/netip"

	"github.com/samber/oops"
)

// ErrAddress reports a text that names no address to which a connection can be opened.
var ErrAddress = errors.New("no IP address and port to connect to")

// ParseAddress parses an IP address and a port in decimal digits. Unspecified and multicast addresses, zones of IPv6 addresses and
// the port 0 are refused. Its error wraps ErrAddress.
func ParseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, oops.In("socket").With("address", text).Wrap(errors.Join(ErrAddress, err))
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return netip.AddrPort{}, oops.In("socket").With("address", text).Wrap(ErrAddress)
	}
	return a, nil
}

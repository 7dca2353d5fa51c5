package hollow

import (
	"math/rand/v2"
	"net/netip"

	"oxbowloft/fleet/faultlink"
)

const (
	directPort   = 17946
	blockMembers = 250 // members of a block of 256 addresses
	firstHost    = 1
	blocks       = 256
	firstNet     = 64 // the second byte is drawn from firstNet on
	nets         = 128
)

// addresses gives each member an address of its own in 127.0.0.0/8. The block is drawn, so
// that two runs on one machine hardly ever meet.
type addresses struct {
	net   byte
	block int
}

func newAddresses() addresses {
	return addresses{
		net:   byte(firstNet + rand.IntN(nets)),
		block: rand.IntN(blocks),
	}
}

// endpoint returns where the member with this number binds and is reached.
func (a addresses) endpoint(number int) faultlink.Endpoint {
	block := byte((a.block + number/blockMembers) % blocks)
	host := byte(firstHost + number%blockMembers)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a.net, block, host}), directPort).String()
	return faultlink.Endpoint{Bind: addr, Advertise: addr}
}

package localfleet

import (
	"math/rand/v2"
	"net/netip"

	"oxbowloft/fleet/faultlink"
)

const (
	directPort      = 17946
	membersPerBlock = 250 // members of a block of 256 addresses
	firstHost       = 1
	blocks          = 256
	firstSecondByte = 64 // the second byte is drawn from firstSecondByte on
	secondByteCount = 128
)

// addresses gives each member an address of its own in 127.0.0.0/8. The block is drawn, so
// that two runs on one machine hardly ever meet.
type addresses struct {
	secondByte byte
	block      int
}

func newAddresses() addresses {
	return addresses{
		secondByte: byte(firstSecondByte + rand.IntN(secondByteCount)),
		block:      rand.IntN(blocks),
	}
}

// endpoint returns where the member with this number binds and is reached.
func (a addresses) endpoint(index int) faultlink.Endpoint {
	block := byte((a.block + index/membersPerBlock) % blocks)
	host := byte(firstHost + index%membersPerBlock)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a.secondByte, block, host}), directPort).String()
	return faultlink.Endpoint{Bind: addr, Advertise: addr}
}

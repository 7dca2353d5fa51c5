package localfleet

import (
	"math/rand/v2"
	"net/netip"

	"oxbowloft/fleet/faultlink"
)

const (
	directPort      = 17946
	membersPerBlock = 250 // members in a block of 256 addresses
	firstHost       = 1
	blocks          = 256
	firstSecondByte = 64 // lowest value of the second byte, which is drawn at random
	secondByteCount = 128
)

// addresses assigns each member its own address in 127.0.0.0/8. The first block is drawn at
// random, so that concurrent runs on one machine rarely collide.
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

// endpoint returns the address that the member with this index binds and advertises.
func (a addresses) endpoint(index int) faultlink.Endpoint {
	block := byte((a.block + index/membersPerBlock) % blocks)
	host := byte(firstHost + index%membersPerBlock)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a.secondByte, block, host}), directPort).String()
	return faultlink.Endpoint{Bind: addr, Advertise: addr}
}

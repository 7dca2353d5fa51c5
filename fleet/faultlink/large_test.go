package faultlink

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// memberCount is over a thousand, the size of a large fleet.
const memberCount = 1100

// A Network holds the members of a large fleet, each with two addresses of its own, and
// forwards between the first and the last. Prevents a limit of one block of addresses.
func TestManyMembers(t *testing.T) {
	n, members := newNetwork(t, 1, "first")
	seen := map[netip.Addr]string{}
	checkUnique := func(name, address string) {
		t.Helper()
		ip := netip.MustParseAddrPort(address).Addr()
		if seen[ip] != "" {
			t.Fatalf("%s and %s share %s", name, seen[ip], ip)
		}
		seen[ip] = name
	}
	checkUnique("first", members["first"].Bind)
	checkUnique("first", members["first"].Advertise)
	for number := range memberCount - 2 {
		name := fmt.Sprintf("member-%d", number)
		endpoint, err := n.Add(name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		checkUnique(name, endpoint.Bind)
		checkUnique(name, endpoint.Advertise)
	}
	last := n.addTestMember(t, "last")
	checkUnique("last", last.Bind)
	checkUnique("last", last.Advertise)

	members["first"].send(t, last, "news")
	if got := last.nextDatagram(t); got != members["first"].Advertise+" news" {
		t.Errorf("the last member received %q", got)
	}
	c := last.dial(t, members["first"].Advertise)
	if err := exchange(c, "to the first", 10*time.Second); err != nil {
		t.Errorf("connection from the last member to the first: %v", err)
	}
}

package faultlink

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// manyMembers is over a thousand, as a large fleet has.
const manyMembers = 1100

// A Net takes as many members as a large fleet has, each at two addresses of its own, and
// passes on between the first and the last. Guards against a bound by one block of addresses.
func TestManyMembers(t *testing.T) {
	n, peers := newNet(t, 1, "first")
	seen := map[netip.Addr]string{}
	take := func(name, address string) {
		t.Helper()
		ip := netip.MustParseAddrPort(address).Addr()
		if seen[ip] != "" {
			t.Fatalf("%s and %s share %s", name, seen[ip], ip)
		}
		seen[ip] = name
	}
	take("first", peers["first"].Bind)
	take("first", peers["first"].Advertise)
	for number := range manyMembers - 2 {
		name := fmt.Sprintf("member-%d", number)
		endpoint, err := n.Add(name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		take(name, endpoint.Bind)
		take(name, endpoint.Advertise)
	}
	last := n.addPeer(t, "last")
	take("last", last.Bind)
	take("last", last.Advertise)

	peers["first"].send(t, last, "news")
	if got := last.next(t); got != peers["first"].Advertise+" news" {
		t.Errorf("the last got %q", got)
	}
	c := last.dial(t, peers["first"].Advertise)
	if err := ask(c, "to the first", 10*time.Second); err != nil {
		t.Errorf("a connection from the last to the first: %v", err)
	}
}

// Where each client process has a balancer of its own: limit and subset by own traffic.

package logic

import (
	"fmt"
	"testing"
	"time"
)

// uneven is settings of balancers whose traffic is unlike: 100 before ten backends.
func unevenSettings() Settings {
	set := testSettings()
	set.Zones, set.Zone = []string{"b"}, "b"
	set.BalancerCount, set.UnevenTraffic = 100, true
	return set
}

// feed lets requests arrive, gap apart, each answered after latency while it is in flight; it
// returns how many of the last half were refused and the time.
func feedRequests(
	b *Balancer, f *recorder, now Time, n int, gap, latency time.Duration, retry bool) (int, Time) {
	type out struct {
		id string
		at Time
	}
	var open []out
	refused := 0
	for i := range n {
		now += gap
		for len(open) > 0 && open[0].at <= now {
			b.AttemptDone(open[0].at, Outcome{Request: open[0].id, Result: OK, Latency: latency, Final: true})
			open = open[1:]
		}
		id := fmt.Sprint(now, i, retry)
		before := len(f.sends)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms, ClientRetry: retry})
		if len(f.sends) > before {
			open = append(open, out{id, now + latency})
		} else if i >= n/2 {
			refused++
		}
	}
	for _, o := range open {
		b.AttemptDone(max(now, o.at), Outcome{Request: o.id, Result: OK, Latency: latency, Final: true})
	}
	return refused, now
}

// Guards against balancers that carry most of the traffic and are held to a like part: at 100
// requests a second of 100 ms each, 10 calls are in flight, where a like part is half a call.
func TestLimitFollowsOwnTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		uneven      bool
		least, most float64 // calls of the base
		refused     int
	}{{"unlike", true, 11, 14, 0}, {"alike", false, 0.5, 0.5, 500}} {
		set := unevenSettings()
		set.UnevenTraffic = c.uneven
		b, f := startBalancer(set, zoneEntries("b", 10)...)
		refused, _ := feedRequests(b, f, 0, 1000, 10*ms, 100*ms, false)
		if base := b.baseLimit * 10; base < c.least || base > c.most || refused > c.refused {
			t.Errorf("%s: base %v calls, want %v to %v; %d refused", c.name, base, c.least, c.most, refused)
		}
	}
}

// Guards against a limit and an arc that grow with retries: the more is refused, the more would be let in.
func TestClientRetriesDontRaiseTheLimit(t *testing.T) {
	b, f := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	_, now := feedRequests(b, f, 0, 300, 100*ms, 100*ms, false)
	base, arc, near := b.baseLimit, b.minSubsetCapacity, len(b.zoneGroups[0].peerSummary.members)
	refused, _ := feedRequests(b, f, now, 300, 5*ms, 100*ms, true)
	if b.baseLimit != base || b.minSubsetCapacity != arc || len(b.zoneGroups[0].peerSummary.members) != near {
		t.Errorf("base %v, arc %v, %d near; before the retries %v, %v, %d",
			b.baseLimit, b.minSubsetCapacity, len(b.zoneGroups[0].peerSummary.members), base, arc, near)
	}
	if refused == 0 {
		t.Error("no retry of a flood was refused")
	}
}

// Guards against a flood at the start, before the traffic is known: no more than a like part and what may be
// saved up goes out.
func TestInitialLimitIsAnEqualShare(t *testing.T) {
	b, f := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	for i := range 20 {
		b.StartRequest(ms, Request{ID: fmt.Sprint(i), Class: idempotent, Budget: 2000 * ms})
	}
	if len(f.sends) > 2*maxLimitTokens+4 {
		t.Errorf("%d of 20 sent at once", len(f.sends))
	}
}

// Guards against few backends under all that a busy balancer carries, and against connections to
// all of them from balancers that are quiet.
func TestSubsetFollowsOwnTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		gap         time.Duration
		least, most int
	}{{"quiet", 500 * ms, 3, 4}, {"busy", 10 * ms, 8, 14}} {
		b, f := startBalancer(unevenSettings(), zoneEntries("b", 30)...)
		feedRequests(b, f, 0, 1000, c.gap, 100*ms, false)
		to := map[string]bool{}
		for _, s := range f.sends[len(f.sends)-100:] {
			to[s.backend] = true
		}
		if len(to) < c.least || len(to) > c.most {
			t.Errorf("%s: calls go to %d backends, want %d to %d", c.name, len(to), c.least, c.most)
		}
	}
}

// Guards against credit of three calls for each of many balancers: together they choke the
// backends at the start.
func TestTokensOfIdleBalancers(t *testing.T) {
	b, f := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	feedRequests(b, f, 0, 100, 500*ms, 100*ms, false)
	now, before := 60*time.Second, len(f.sends)
	for i := range 10 {
		b.StartRequest(now, Request{ID: fmt.Sprint("burst", i), Class: idempotent, Budget: 2000 * ms})
	}
	if n := len(f.sends) - before; n < 1 || n > 4 {
		t.Errorf("%d of 10 at once were sent, want 1 to 4", n)
	}
}

// Guards against a balancer that has long been quiet, and whose limit has grown to a hundred times
// the little that it needs: the burst that follows would all be let in.
func TestLimitOfIdleBalancer(t *testing.T) {
	b, f := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	_, now := feedRequests(b, f, 0, 200, 10*time.Second, 50*ms, false)
	before := len(f.sends)
	for i := range 300 { // none is answered yet
		b.StartRequest(now+Time(i)*ms, Request{ID: fmt.Sprint("burst", i), Class: idempotent,
			Budget: 2000 * ms})
	}
	if n := len(f.sends) - before; n > 100 {
		t.Errorf("%d of 300 at once were sent", n)
	}
}

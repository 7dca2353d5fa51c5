// Tests with uneven traffic, as when each client process has its own balancer: the limit and the subset
// follow own traffic.

package logic

import (
	"fmt"
	"testing"
	"time"
)

// unevenSettings returns settings of one of 100 balancers with uneven traffic and ten backends.
func unevenSettings() Settings {
	set := testSettings()
	set.Zones, set.Zone = []string{"b"}, "b"
	set.BalancerCount, set.UnevenTraffic = 100, true
	return set
}

// feedRequests starts requests, one after each gap, each answered after latency while in flight. It
// returns how many of the second half were refused, and the time.
func feedRequests(
	b *Balancer, rec *recorder, now Time, n int, gap, latency time.Duration, retry bool) (int, Time) {
	type pendingCall struct {
		id string
		at Time
	}
	var pending []pendingCall
	refused := 0
	for i := range n {
		now += gap
		for len(pending) > 0 && pending[0].at <= now {
			b.AttemptDone(pending[0].at, Outcome{Request: pending[0].id, Result: OK, Latency: latency,
				Final: true})
			pending = pending[1:]
		}
		id := fmt.Sprint(now, i, retry)
		before := len(rec.sends)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms, ClientRetry: retry})
		if len(rec.sends) > before {
			pending = append(pending, pendingCall{id, now + latency})
		} else if i >= n/2 {
			refused++
		}
	}
	for _, o := range pending {
		b.AttemptDone(max(now, o.at), Outcome{Request: o.id, Result: OK, Latency: latency, Final: true})
	}
	return refused, now
}

// Prevents balancers with most of the traffic from being limited to an equal share: at 100 requests a
// second of 100 ms each, 10 calls are in flight, where an equal share is half a call.
func TestLimitFollowsOwnTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		uneven      bool
		least, most float64 // base limit in calls
		refused     int
	}{{"uneven", true, 11, 14, 0}, {"even", false, 0.5, 0.5, 500}} {
		set := unevenSettings()
		set.UnevenTraffic = c.uneven
		b, rec := startBalancer(set, zoneEntries("b", 10)...)
		refused, _ := feedRequests(b, rec, 0, 1000, 10*ms, 100*ms, false)
		if base := b.baseLimit * 10; base < c.least || base > c.most || refused > c.refused {
			t.Errorf("%s: base limit of %v calls, want %v to %v; %d refused", c.name, base, c.least, c.most,
				refused)
		}
	}
}

// Prevents a limit and a subset that grow with retries: the more requests are refused, the more would be
// admitted.
func TestClientRetriesDontRaiseTheLimit(t *testing.T) {
	b, rec := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	_, now := feedRequests(b, rec, 0, 300, 100*ms, 100*ms, false)
	baseLimit, subset, peers := b.baseLimit, b.minSubsetCapacity, len(b.zoneGroups[0].peerSummary.members)
	refused, _ := feedRequests(b, rec, now, 300, 5*ms, 100*ms, true)
	if b.baseLimit != baseLimit || b.minSubsetCapacity != subset ||
		len(b.zoneGroups[0].peerSummary.members) != peers {
		t.Errorf("base limit %v, subset %v, %d peers; before the retries %v, %v, %d",
			b.baseLimit, b.minSubsetCapacity, len(b.zoneGroups[0].peerSummary.members), baseLimit, subset,
			peers)
	}
	if refused == 0 {
		t.Error("no retry of a flood was refused")
	}
}

// Prevents a flood at the start, before the traffic is known: no more is sent than an equal share and the
// token bucket.
func TestInitialLimitIsAnEqualShare(t *testing.T) {
	b, rec := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	for i := range 20 {
		b.StartRequest(ms, Request{ID: fmt.Sprint(i), Class: idempotent, Budget: 2000 * ms})
	}
	if len(rec.sends) > 2*maxLimitTokens+4 {
		t.Errorf("%d of 20 sent at once", len(rec.sends))
	}
}

// Prevents a busy balancer from sending all its calls to a few backends, and an idle one from connecting
// to all of them.
func TestSubsetFollowsOwnTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		gap         time.Duration
		least, most int
	}{{"quiet", 500 * ms, 3, 4}, {"busy", 10 * ms, 8, 14}} {
		b, rec := startBalancer(unevenSettings(), zoneEntries("b", 30)...)
		feedRequests(b, rec, 0, 1000, c.gap, 100*ms, false)
		to := map[string]bool{}
		for _, s := range rec.sends[len(rec.sends)-100:] {
			to[s.backend] = true
		}
		if len(to) < c.least || len(to) > c.most {
			t.Errorf("%s: calls go to %d backends, want %d to %d", c.name, len(to), c.least, c.most)
		}
	}
}

// Prevents a token bucket of three calls for each of many balancers: together they would overload the
// backends at the start.
func TestTokensOfIdleBalancers(t *testing.T) {
	b, rec := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	feedRequests(b, rec, 0, 100, 500*ms, 100*ms, false)
	now, before := 60*time.Second, len(rec.sends)
	for i := range 10 {
		b.StartRequest(now, Request{ID: fmt.Sprint("burst", i), Class: idempotent, Budget: 2000 * ms})
	}
	if n := len(rec.sends) - before; n < 1 || n > 4 {
		t.Errorf("%d of 10 at once were sent, want 1 to 4", n)
	}
}

// Prevents the limit of a balancer with little traffic from growing to a hundred times its need: the
// burst that follows would be admitted in full.
func TestLimitOfIdleBalancer(t *testing.T) {
	b, rec := startBalancer(unevenSettings(), zoneEntries("b", 10)...)
	_, now := feedRequests(b, rec, 0, 200, 10*time.Second, 50*ms, false)
	before := len(rec.sends)
	for i := range 300 { // none has been answered yet
		b.StartRequest(now+Time(i)*ms, Request{ID: fmt.Sprint("burst", i), Class: idempotent,
			Budget: 2000 * ms})
	}
	if n := len(rec.sends) - before; n > 100 {
		t.Errorf("%d of 300 at once were sent", n)
	}
}

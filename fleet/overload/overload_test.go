package overload

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func sampleDigest(compact bool) *Digest {
	d := &Digest{Compact: compact, Classes: MaxCompactClasses, Sender: 1 << 60, Incarnation: 7,
		Sequence: 9, Episode: 3,
		Recovered: []uint16{5}}
	if !compact {
		d.Classes, d.Recovered, d.UnreachableHash = MaxClasses, []uint16{1, 2, 3, 4}, 1<<63+1
	}
	for i, v := range d.encodedValues() {
		*v = decodeValue(encodeValue(float64(i) * 1.7))
	}
	return d
}

func TestDigest(t *testing.T) {
	for _, tt := range []struct {
		compact bool
		maxSize int
	}{{true, MaxCompactSize}, {false, MaxDigestSize}} {
		d := sampleDigest(tt.compact)
		b := d.Append(nil)
		if len(b) > tt.maxSize {
			t.Errorf("compact %v: %d bytes exceed the limit", tt.compact, len(b))
		}
		got, err := ParseDigest(b)
		if err != nil || !reflect.DeepEqual(got, d) {
			t.Errorf("compact %v: got %+v, %v; want %+v", tt.compact, got, err, d)
		}
		for n := range b {
			if _, err := ParseDigest(b[:n]); !errors.Is(err, ErrMalformed) {
				t.Errorf("%d of %d bytes: got error %v, want ErrMalformed", n, len(b), err)
			}
		}
	}
	b := sampleDigest(true).Append(nil)
	b[0]++
	if _, err := ParseDigest(b); !errors.Is(err, ErrVersion) {
		t.Errorf("unknown version: got error %v, want ErrVersion", err)
	}
}

func TestValueEncoding(t *testing.T) {
	for _, tt := range []struct{ in, minValue, maxValue float64 }{
		{0, 0, 0}, {-1, 0, 0}, {math.NaN(), 0, 0}, {math.Inf(-1), 0, 0}, {1e-9, 0, 0},
		{1, 0.9997, 1.0003}, {123.4, 123.36, 123.44}, {math.Inf(1), 1e8, 2e8}, {1e300, 1e8, 2e8},
	} {
		if got := decodeValue(encodeValue(tt.in)); !(got >= tt.minValue && got <= tt.maxValue) {
			t.Errorf("%v is decoded as %v", tt.in, got)
		}
	}
}

// newFleets returns n members, all alive, that have not received any digest yet.
func newFleets(n int) (fleets []*Fleet, view []Member) {
	for i := range n {
		view = append(view, Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Incarnation: 2})
	}
	for _, m := range view {
		f, err := New(0, Settings{Classes: testClasses}, m)
		if err != nil {
			panic(err)
		}
		f.SetMembers(0, n, view)
		fleets = append(fleets, f)
	}
	return fleets, view
}

// testCounters returns the counters of half a second with a number of first attempts of each class, of which
// a fraction is refused.
func testCounters(attempts, refusedFraction float64) Counters {
	c := Counters{LatencySamples: attempts, LatencyRatioSum: attempts * (0.3 + min(0.7, 10*refusedFraction))}
	for range testClasses {
		c.FirstAttempts = append(c.FirstAttempts, attempts)
		c.Served = append(c.Served, attempts*(1-refusedFraction))
		c.Refused = append(c.Refused, attempts*refusedFraction)
	}
	return c
}

// exchangeDigests lets all members report counters and exchange digests for a time, except between the pairs
// that blocked selects. It returns the time afterwards.
func exchangeDigests(fleets []*Fleet, from, span Time, c Counters, blocked func(i, j int) bool) Time {
	for now := from; now < from+span; now += halfSecond {
		for _, f := range fleets {
			f.AddCounters(now, c)
		}
		for i, f := range fleets {
			b := f.NextDigest(now)
			for j, to := range fleets {
				if i != j && (blocked == nil || !blocked(i, j)) {
					to.ReceiveDigest(now, b)
				}
			}
		}
	}
	return from + span
}

// A dropped digest must not influence a member. Each case compares the member with a twin that never received
// the digest: both must have the same controls and send the same digests afterwards.
func TestDroppedDigestsChangeNothing(t *testing.T) {
	fleets, view := newFleets(5)
	twins, _ := newFleets(5)
	now := exchangeDigests(fleets, halfSecond, 5*time.Second, testCounters(5, 0), nil)
	exchangeDigests(twins, halfSecond, 5*time.Second, testCounters(5, 0), nil)
	f, twin := fleets[0], twins[0]
	digest := func(change func(*Digest)) []byte {
		d, _ := ParseDigest(fleets[1].NextDigest(now))
		d.Sequence += 10
		d.Own.FirstAttempts[0] *= 3
		change(d)
		return d.Append(nil)
	}
	differs := func() bool {
		now += halfSecond
		f.AddCounters(now, testCounters(5, 0))
		twin.AddCounters(now, testCounters(5, 0))
		return f.Controls(now) != twin.Controls(now) || !bytes.Equal(f.NextDigest(now), twin.NextDigest(now))
	}
	tests := []struct {
		name string
		b    []byte
		err  error
	}{
		{"duplicate", digest(func(d *Digest) {
			d.Sequence = f.peersByHash[d.Sender].digest.Sequence
		}), ErrStaleDigest},
		{"reordered", digest(func(d *Digest) { d.Sequence = 1 }), ErrStaleDigest},
		{"older incarnation", digest(func(d *Digest) { d.Incarnation = 1 }), ErrUnknownMember},
		{"unknown incarnation", digest(func(d *Digest) { d.Incarnation = 3 }), ErrUnknownMember},
		{"unknown sender", digest(func(d *Digest) { d.Sender++ }), ErrUnknownMember},
		{"own digest, reflected", digest(func(d *Digest) { d.Sender = f.self.hash }), ErrUnknownMember},
		{"outlier", digest(func(d *Digest) { d.Own.FirstAttempts[0] = math.Inf(1) }), ErrOutlier},
		{"other number of classes", digest(func(d *Digest) { d.Classes = 2 }), ErrMalformed},
		{"empty", nil, ErrMalformed},
	}
	for _, tt := range tests {
		if err := f.ReceiveDigest(now, tt.b); !errors.Is(err, tt.err) {
			t.Errorf("%s: unexpected error %v", tt.name, err)
		}
		if differs() {
			t.Fatalf("%s: controls %+v, without the digest %+v", tt.name, f.Controls(now), twin.Controls(now))
		}
	}
	if got, want := f.Dropped(), (DropCounts{Malformed: 2, Unknown: 4, Stale: 2, Outlier: 1}); got != want {
		t.Errorf("dropped %+v, want %+v", got, want)
	}
	// Checks the comparison itself: an accepted digest makes a difference.
	if err := f.ReceiveDigest(now, digest(func(*Digest) {})); err != nil || !differs() {
		t.Errorf("a valid digest changes nothing, error %v", err)
	}
	// After a restart a member is heard from its first digest on, and digests of its old incarnation are
	// dropped.
	old := fleets[1].NextDigest(now)
	view[1].Incarnation = 3
	f.SetMembers(now, 5, view)
	if err := f.ReceiveDigest(now, old); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("digest of the old incarnation: got error %v, want ErrUnknownMember", err)
	}
	next, _ := New(now, Settings{Classes: testClasses}, view[1])
	if err := f.ReceiveDigest(now, next.NextDigest(now)); err != nil {
		t.Errorf("digest of the new incarnation: %v", err)
	}
}

// A digest that was delayed in transit is weighted by its age.
func TestDelayedDigestIsAged(t *testing.T) {
	fleets, _ := newFleets(2)
	now := exchangeDigests(fleets, halfSecond, 5*time.Second, testCounters(5, 0), nil)
	b := fleets[1].NextDigest(now)
	e := fleets[0].peers[0]
	fleets[0].ReceiveDigest(now+3*time.Second, b)
	if w := fleets[0].peerWeight(now+3*time.Second, e); w > 0.5 {
		t.Errorf("digest delayed by 3 s has weight %.2f", w)
	}
}

// Invalid counters (NaN, negative or infinite) count as 0.
func TestMalformedCounters(t *testing.T) {
	fleets, _ := newFleets(1)
	bad := Counters{FirstAttempts: []float64{math.NaN(), -5, math.Inf(1), 7, 8},
		LatencyRatioSum: math.NaN(), LatencySamples: 1, Retries: -1}
	fleets[0].AddCounters(halfSecond, bad)
	if f := fleets[0]; f.ownRates != (Vector{}) || f.Controls(halfSecond) != Standalone() {
		t.Errorf("invalid counters give rates %+v", f.ownRates)
	}
}

// Members with the same inputs must shed the same keys, about as many as the shed fraction says, and other
// keys in the next episode. Otherwise every retry at another member would have a new chance.
func TestConsistentShedding(t *testing.T) {
	fleets, _ := newFleets(6)
	exchangeDigests(fleets, halfSecond, 15*time.Second, testCounters(50, 0.3), nil)
	all := make([]Controls, len(fleets))
	for i, f := range fleets {
		all[i] = f.Controls(15 * time.Second)
	}
	if shedFraction := all[0].ShedFraction; shedFraction[0] != 0 || shedFraction[2] < 0.5 {
		t.Fatalf("shed fractions %v", shedFraction)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	const keys = 10000
	shed, inconsistent, changed := 0, 0, 0
	for range keys {
		key := rng.Uint64()
		next := all[0]
		next.Episode++
		isShed := all[0].ShouldShed(1, key) || all[0].ShouldShed(2, key)
		if isShed {
			shed++
		}
		for i := range all[1:] {
			if all[1+i].Episode != all[0].Episode ||
				isShed != (all[1+i].ShouldShed(1, key) || all[1+i].ShouldShed(2, key)) {
				inconsistent++
				break
			}
		}
		if all[0].ShouldShed(2, key) != next.ShouldShed(2, key) {
			changed++
		}
	}
	if inconsistent > keys/20 {
		t.Errorf("%d of %d keys are shed by some members only", inconsistent, keys)
	}
	if shedFraction := all[0].ShedFraction[2]; shedFraction < 0.99 && changed == 0 {
		t.Error("the next episode sheds the same keys")
	}
	// Checks the bound itself: shedding at random must exceed it.
	randomShed := func() bool { return rng.Float64() < all[0].ShedFraction[2]*0.9 }
	inconsistent = 0
	for range keys {
		if first, second := randomShed(), randomShed(); first != second {
			inconsistent++
		}
	}
	if inconsistent <= keys/20 {
		t.Error("random shedding passes the check")
	}
}

// Waits are spread by the key, never exceed the maximum that clients obey, and equal the base for a
// standalone member.
func TestRetryAfterSpread(t *testing.T) {
	n := Standalone()
	if got := n.RetryAfter(1, time.Second, time.Minute); got != time.Second {
		t.Errorf("standalone: wait %v, want 1s", got)
	}
	n.Confidence = 1
	shortest, longest := time.Hour, time.Duration(0)
	for key := range uint64(1000) {
		got := n.RetryAfter(key, time.Second, 1400*time.Millisecond)
		shortest, longest = min(shortest, got), max(longest, got)
	}
	if shortest > 550*time.Millisecond || longest != 1400*time.Millisecond {
		t.Errorf("waits range from %v to %v", shortest, longest)
	}
}

// One member per zone probes a failed backend, with 10 members as with 300; a prober that is not heard is
// replaced. Once a probe succeeds, all members may probe, spread over seconds.
func TestOneProberPerZone(t *testing.T) {
	for _, n := range []int{10, 300} {
		fleets, _ := newFleets(n)
		outOfReach := func(i, j int) bool { return n > 10 && (j-i+n)%n > 4 } // of 300, each hears a few
		now := exchangeDigests(fleets, halfSecond, 4*time.Second, testCounters(5, 0), outOfReach)
		probers := func(backend string) (who []int) {
			for i, f := range fleets {
				if f.MayProbe(now, backend, f.self.Zone) {
					who = append(who, i)
				}
			}
			return who
		}
		first := probers("b")
		if len(first) != 3 {
			t.Errorf("%d members: %v probe the backend", n, first)
		}
		if n > 10 {
			continue
		}
		cutOff := first[0]
		now = exchangeDigests(fleets, now, 8*time.Second, testCounters(5, 0),
			func(i, j int) bool { return i == cutOff || j == cutOff })
		if after := probers("b"); len(after) != 4 || reflect.DeepEqual(first, after) {
			t.Errorf("with %d cut off: %v probe the backend", cutOff, after)
		}
		fleets[first[1]].ProbeSucceeded(now, "b")
		now = exchangeDigests(fleets, now, 3*time.Second, testCounters(5, 0), nil)
		if probersAfter := probers("b"); len(probersAfter) != n {
			t.Errorf("after a successful probe: %v probe the backend", probersAfter)
		}
	}
}

// The limit shares of unreachable members go to the others once a majority of the roster agrees on them, up
// to a tenth of the whole limit. Shares of members that announced their leaving are freed at once.
func TestFreedLimitShare(t *testing.T) {
	tests := []struct {
		name           string
		state          State
		absent, roster int
		observers      int     // members that observe the change
		maxSum, minSum float64 // encoded values are rounded by 0.04%
		selfAsRoster   bool    // the observers use their own number as the roster size
	}{
		{"left", Left, 3, 10, 7, 10.01, 9.8, false},
		{"unreachable for all", Unreachable, 3, 10, 7, 7.9, 7.6, false},
		{"unreachable for half", Unreachable, 3, 10, 5, 7.05, 6.8, false},
		{"others unreachable for a minority", Unreachable, 6, 10, 4, 4.05, 3.8, false},
		{"violation: a minority counts only itself as the roster", Unreachable, 6, 10, 4, 4.05, 3.8, true},
	}
	for _, tt := range tests {
		fleets, view := newFleets(tt.roster)
		now := exchangeDigests(fleets, halfSecond, 6*time.Second, testCounters(5, 0), nil)
		for i := range tt.absent {
			view[i].State = tt.state
		}
		remaining := fleets[tt.absent:]
		for i, f := range remaining {
			if i < tt.observers {
				f.SetMembers(now,
					map[bool]int{false: tt.roster, true: tt.roster - tt.absent}[tt.selfAsRoster], view)
			}
		}
		now = exchangeDigests(remaining, now, 20*time.Second, testCounters(5, 0), nil)
		sum := 0.0
		for _, f := range remaining {
			sum += f.Controls(now).LimitShare
		}
		if violated := sum > tt.maxSum || sum < tt.minSum; violated != tt.selfAsRoster {
			t.Errorf("%s: limit shares sum to %.2f N-ths, want %v to %v", tt.name, sum, tt.minSum, tt.maxSum)
		}
	}
}

// 300 members that retry as much as they may must stay within the fleet's budget in every second, also with a
// third of them cut off. To check the test itself, a third of the members spends saved retries in one second.
func TestRetryBudgetFleetWide(t *testing.T) {
	const n, first = 300, 4.0 // of each class, in half a second
	peakRetries := func(hoard bool) (peak float64) {
		fleets, _ := newFleets(n)
		rng := rand.New(rand.NewPCG(3, 3))
		var retryTimes []Time
		outOfReach := func(i, j int) bool { return (j-i+n)%n > 4 }
		now := exchangeDigests(fleets, halfSecond, 3*time.Second, testCounters(first, 0), outOfReach)
		for step := range 60 {
			if step%5 == 0 {
				for _, f := range fleets {
					f.AddCounters(now, testCounters(first, 0))
				}
				for i, f := range fleets {
					b := f.NextDigest(now)
					for range 3 {
						if j := rng.IntN(n); i != j && (i < n/3) == (j < n/3) {
							fleets[j].ReceiveDigest(now, b)
						}
					}
				}
			}
			for i, f := range fleets {
				for range 10 {
					if f.AllowRetry(now) || hoard && step == 30 && i < n/3 {
						retryTimes = append(retryTimes, now)
					}
				}
			}
			now += 100 * time.Millisecond
			recent := 0.0
			for _, at := range retryTimes {
				if now-at <= time.Second {
					recent++
				}
			}
			peak = max(peak, recent)
		}
		return peak
	}
	budget := 0.1 * n * 2 * first * float64(len(testClasses))
	if got := peakRetries(false); got > budget+3*math.Sqrt(budget) || got < budget/3 {
		t.Errorf("%.0f retries in a second, budget %.0f", got, budget)
	}
	if got := peakRetries(true); got <= budget+3*math.Sqrt(budget) {
		t.Errorf("%.0f retries in a second with hoarded ones pass, budget %.0f", got, budget)
	}
}

// No input makes ReceiveDigest panic or pushes a control out of its bounds; parsed digests survive a round
// trip.
func FuzzReceiveDigest(f *testing.F) {
	f.Add(sampleDigest(true).Append(nil))
	f.Add(sampleDigest(false).Append(nil))
	f.Add([]byte{digestVersion, 1})
	fleets, _ := newFleets(3)
	f.Add(fleets[1].NextDigest(halfSecond))
	f.Fuzz(func(t *testing.T, b []byte) {
		fleets, _ := newFleets(3)
		fleets[0].AddCounters(halfSecond, testCounters(5, 0.2))
		for i := range 5 {
			now := Time(i+1) * halfSecond
			fleets[0].ReceiveDigest(now, b)
			fleets[0].ReceiveDigest(now, fleets[2].NextDigest(now))
			n := fleets[0].Controls(now)
			for _, v := range append([]float64{n.Confidence, n.RetryFraction, n.SlowStartFraction,
				n.LimitShare / maxLimitShare}, n.ShedFraction[:]...) {
				if !(v >= 0 && v <= 1) {
					t.Fatalf("controls out of bounds: %+v", n)
				}
			}
		}
		if d, err := ParseDigest(b); err == nil {
			if again, err := ParseDigest(d.Append(nil)); err != nil || !reflect.DeepEqual(d, again) {
				t.Fatalf("round trip of %+v gives %+v, error %v", d, again, err)
			}
		}
	})
}

// BenchmarkOneSecond measures a member's work for one second: two reports of counters, ten reads of its
// controls and the digests that it hears.
func BenchmarkOneSecond(b *testing.B) {
	for _, heard := range []int{2, 300} {
		b.Run(fmt.Sprint(heard), func(b *testing.B) {
			fleets, _ := newFleets(301)
			now := halfSecond
			for b.Loop() {
				for range 2 {
					fleets[0].AddCounters(now, testCounters(5, 0.1))
					now += halfSecond
				}
				for i := range 10 {
					fleets[0].Controls(now - time.Second + Time(i)*minStep)
				}
				for i := range heard {
					b.StopTimer()
					j := 1 + (int(now/time.Second)*heard+i)%300
					d := fleets[j].NextDigest(now)
					b.StartTimer()
					fleets[0].ReceiveDigest(now, d)
				}
			}
		})
	}
}

// BenchmarkShouldShed measures the cost per request.
func BenchmarkShouldShed(b *testing.B) {
	n := Standalone()
	n.ShedFraction[0] = 0.5
	for i := uint64(0); b.Loop(); i++ {
		n.ShouldShed(0, i)
	}
}

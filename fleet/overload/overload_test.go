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

func full(compact bool) *Digest {
	d := &Digest{Compact: compact, Classes: MaxCompactClasses, Sender: 1 << 60, Incarnation: 7, Sequence: 9, Episode: 3,
		Recovered: []uint16{5}}
	if !compact {
		d.Classes, d.Recovered, d.UnreachableHash = MaxClasses, []uint16{1, 2, 3, 4}, 1<<63+1
	}
	for i, v := range d.values() {
		*v = value(code(float64(i) * 1.7))
	}
	return d
}

func TestDigest(t *testing.T) {
	for _, tt := range []struct {
		compact bool
		most    int
	}{{true, MaxCompactSize}, {false, MaxDigestSize}} {
		d := full(tt.compact)
		b := d.Append(nil)
		if len(b) > tt.most {
			t.Errorf("compact %v: %d bytes", tt.compact, len(b))
		}
		got, err := ParseDigest(b)
		if err != nil || !reflect.DeepEqual(got, d) {
			t.Errorf("compact %v: got %+v, %v; want %+v", tt.compact, got, err, d)
		}
		for n := range b {
			if _, err := ParseDigest(b[:n]); !errors.Is(err, ErrMalformed) {
				t.Errorf("%d of %d bytes: %v", n, len(b), err)
			}
		}
	}
	b := full(true).Append(nil)
	b[0]++
	if _, err := ParseDigest(b); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
}

func TestCode(t *testing.T) {
	for _, tt := range []struct{ in, least, most float64 }{
		{0, 0, 0}, {-1, 0, 0}, {math.NaN(), 0, 0}, {math.Inf(-1), 0, 0}, {1e-9, 0, 0},
		{1, 0.9997, 1.0003}, {123.4, 123.36, 123.44}, {math.Inf(1), 1e8, 2e8}, {1e300, 1e8, 2e8},
	} {
		if got := value(code(tt.in)); !(got >= tt.least && got <= tt.most) {
			t.Errorf("%v travels as %v", tt.in, got)
		}
	}
}

// team is n members, all alive, of which none has heard anything yet.
func team(n int) (fleets []*Fleet, view []Member) {
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

// counters of half a second with so many first tries of a class, and a share of them turned away.
func counters(first, turned float64) Counters {
	c := Counters{LatencySamples: first, LatencyRatioSum: first * (0.3 + min(0.7, 10*turned))}
	for range testClasses {
		c.FirstAttempts = append(c.FirstAttempts, first)
		c.Served = append(c.Served, first*(1-turned))
		c.Refused = append(c.Refused, first*turned)
	}
	return c
}

// talk lets all tell and hear all, but for those that deaf says, for a time.
func talk(fleets []*Fleet, from, span Time, c Counters, apart func(i, j int) bool) Time {
	for now := from; now < from+span; now += half {
		for _, f := range fleets {
			f.AddCounters(now, c)
		}
		for i, f := range fleets {
			b := f.NextDigest(now)
			for j, to := range fleets {
				if i != j && (apart == nil || !apart(i, j)) {
					to.ReceiveDigest(now, b)
				}
			}
		}
	}
	return from + span
}

// TestTaken: what isn't taken changes no number and no digest to come: after it a member does what its twin
// does that never got it.
func TestTaken(t *testing.T) {
	fleets, view := team(5)
	twins, _ := team(5)
	now := talk(fleets, half, 5*time.Second, counters(5, 0), nil)
	talk(twins, half, 5*time.Second, counters(5, 0), nil)
	f, twin := fleets[0], twins[0]
	digest := func(change func(*Digest)) []byte {
		d, _ := ParseDigest(fleets[1].NextDigest(now))
		d.Sequence += 10
		d.Own.FirstAttempts[0] *= 3
		change(d)
		return d.Append(nil)
	}
	unlike := func() bool {
		now += half
		f.AddCounters(now, counters(5, 0))
		twin.AddCounters(now, counters(5, 0))
		return f.Controls(now) != twin.Controls(now) || !bytes.Equal(f.NextDigest(now), twin.NextDigest(now))
	}
	tests := []struct {
		name string
		b    []byte
		err  error
	}{
		{"doubled", digest(func(d *Digest) { d.Sequence = f.by[d.Sender].digest.Sequence }), ErrStaleDigest},
		{"late, from before", digest(func(d *Digest) { d.Sequence = 1 }), ErrStaleDigest},
		{"older life", digest(func(d *Digest) { d.Incarnation = 1 }), ErrUnknownMember},
		{"life that membership knows nothing of", digest(func(d *Digest) { d.Incarnation = 3 }), ErrUnknownMember},
		{"stranger", digest(func(d *Digest) { d.Sender++ }), ErrUnknownMember},
		{"own, sent back", digest(func(d *Digest) { d.Sender = f.me.hash }), ErrUnknownMember},
		{"huge", digest(func(d *Digest) { d.Own.FirstAttempts[0] = math.Inf(1) }), ErrOutlier},
		{"other classes", digest(func(d *Digest) { d.Classes = 2 }), ErrMalformed},
		{"empty", nil, ErrMalformed},
	}
	for _, tt := range tests {
		if err := f.ReceiveDigest(now, tt.b); !errors.Is(err, tt.err) {
			t.Errorf("%s: %v", tt.name, err)
		}
		if unlike() {
			t.Fatalf("%s: %+v, and without %+v", tt.name, f.Controls(now), twin.Controls(now))
		}
	}
	if got, want := f.Dropped(), (DropCounts{Malformed: 2, Unknown: 4, Stale: 2, Outlier: 1}); got != want {
		t.Errorf("dropped %+v, want %+v", got, want)
	}
	// Planted: one that is taken shows.
	if err := f.ReceiveDigest(now, digest(func(*Digest) {})); err != nil || !unlike() {
		t.Errorf("a good digest changes nothing, %v", err)
	}
	// A member in its next life is heard from its first digest on, and its old life no more.
	old := fleets[1].NextDigest(now)
	view[1].Incarnation = 3
	f.SetMembers(now, 5, view)
	if err := f.ReceiveDigest(now, old); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("the old life is heard: %v", err)
	}
	next, _ := New(now, Settings{Classes: testClasses}, view[1])
	if err := f.ReceiveDigest(now, next.NextDigest(now)); err != nil {
		t.Errorf("the next life: %v", err)
	}
}

// TestLate: a digest that was long under way counts for its age.
func TestLate(t *testing.T) {
	fleets, _ := team(2)
	now := talk(fleets, half, 5*time.Second, counters(5, 0), nil)
	b := fleets[1].NextDigest(now)
	e := fleets[0].others[0]
	fleets[0].ReceiveDigest(now+3*time.Second, b)
	if w := fleets[0].weight(now+3*time.Second, e); w > 0.5 {
		t.Errorf("3 s under way, and it weighs %.2f", w)
	}
}

// TestMalformedCounters: counters that no honest caller tells count as none.
func TestMalformedCounters(t *testing.T) {
	fleets, _ := team(1)
	bad := Counters{FirstAttempts: []float64{math.NaN(), -5, math.Inf(1), 7, 8}, LatencyRatioSum: math.NaN(), LatencySamples: 1, Retries: -1}
	fleets[0].AddCounters(half, bad)
	if f := fleets[0]; f.own != (Vector{}) || f.Controls(half) != Standalone() {
		t.Errorf("own %+v", f.own)
	}
}

// TestShed: members that hear the same shed the same keys, about as many as the cut says, and other keys in
// the next spell.
func TestShed(t *testing.T) {
	fleets, _ := team(6)
	talk(fleets, half, 15*time.Second, counters(50, 0.3), nil)
	all := make([]Controls, len(fleets))
	for i, f := range fleets {
		all[i] = f.Controls(15 * time.Second)
	}
	if cut := all[0].ShedFraction; cut[0] != 0 || cut[2] < 0.5 {
		t.Fatalf("cut %v", cut)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	const keys = 10000
	shed, unlike, other := 0, 0, 0
	for range keys {
		key := rng.Uint64()
		next := all[0]
		next.Episode++
		is := all[0].ShouldShed(1, key) || all[0].ShouldShed(2, key)
		if is {
			shed++
		}
		for i := range all[1:] {
			if all[1+i].Episode != all[0].Episode || is != (all[1+i].ShouldShed(1, key) || all[1+i].ShouldShed(2, key)) {
				unlike++
				break
			}
		}
		if all[0].ShouldShed(2, key) != next.ShouldShed(2, key) {
			other++
		}
	}
	if unlike > keys/20 {
		t.Errorf("%d of %d keys are shed at some members alone", unlike, keys)
	}
	if cut := all[0].ShedFraction[2]; cut < 0.99 && other == 0 {
		t.Error("the next spell sheds the same keys")
	}
	dice := func() bool { return rng.Float64() < all[0].ShedFraction[2]*0.9 } // planted: what dice would do
	unlike = 0
	for range keys {
		if one, other := dice(), dice(); one != other {
			unlike++
		}
	}
	if unlike <= keys/20 {
		t.Error("the check would let dice pass")
	}
}

// TestComeBack: spread by the key, never over what clients obey, and exactly the base for one alone.
func TestComeBack(t *testing.T) {
	n := Standalone()
	if got := n.RetryAfter(1, time.Second, time.Minute); got != time.Second {
		t.Errorf("alone: %v", got)
	}
	n.Confidence = 1
	least, most := time.Hour, time.Duration(0)
	for key := range uint64(1000) {
		got := n.RetryAfter(key, time.Second, 1400*time.Millisecond)
		least, most = min(least, got), max(most, got)
	}
	if least > 550*time.Millisecond || most != 1400*time.Millisecond {
		t.Errorf("spread over %v to %v", least, most)
	}
}

// TestTrials: one member a zone tries a dead backend, whether there are 10 of them or 300, and an owner that
// is not heard of is passed over. Once one has found it serving, all may try, spread over seconds.
func TestTrials(t *testing.T) {
	for _, n := range []int{10, 300} {
		fleets, _ := team(n)
		far := func(i, j int) bool { return n > 10 && (j-i+n)%n > 4 } // of many each hears a few
		now := talk(fleets, half, 4*time.Second, counters(5, 0), far)
		owners := func(backend string) (who []int) {
			for i, f := range fleets {
				if f.MayProbe(now, backend, f.me.Zone) {
					who = append(who, i)
				}
			}
			return who
		}
		first := owners("b")
		if len(first) != 3 {
			t.Errorf("%d members: %v try it", n, first)
		}
		if n > 10 {
			continue
		}
		dead := first[0]
		now = talk(fleets, now, 8*time.Second, counters(5, 0), func(i, j int) bool { return i == dead || j == dead })
		if after := owners("b"); len(after) != 4 || reflect.DeepEqual(first, after) {
			t.Errorf("with %d cut off: %v try it", dead, after)
		}
		fleets[first[1]].ProbeSucceeded(now, "b")
		now = talk(fleets, now, 3*time.Second, counters(5, 0), nil)
		if found := owners("b"); len(found) != n {
			t.Errorf("once found: %v try it", found)
		}
	}
}

// TestFreed: what the dead held goes to others once a majority of the roster sees them gone, a tenth of the
// whole at most; what was left in order goes at once.
func TestFreed(t *testing.T) {
	tests := []struct {
		name        string
		state       State
		out, roster int
		see         int     // of the others that see it
		most, least float64 // what travels is rounded by 0.04%
		planted     bool    // who is left takes itself for the roster
	}{
		{"left", Left, 3, 10, 7, 10.01, 9.8, false},
		{"seen gone by all", Unreachable, 3, 10, 7, 7.9, 7.6, false},
		{"seen gone by half", Unreachable, 3, 10, 5, 7.05, 6.8, false},
		{"a minority sees the others gone", Unreachable, 6, 10, 4, 4.05, 3.8, false},
		{"planted: a minority that asks itself", Unreachable, 6, 10, 4, 4.05, 3.8, true},
	}
	for _, tt := range tests {
		fleets, view := team(tt.roster)
		now := talk(fleets, half, 6*time.Second, counters(5, 0), nil)
		for i := range tt.out {
			view[i].State = tt.state
		}
		rest := fleets[tt.out:]
		for i, f := range rest {
			if i < tt.see {
				f.SetMembers(now, map[bool]int{false: tt.roster, true: tt.roster - tt.out}[tt.planted], view)
			}
		}
		now = talk(rest, now, 20*time.Second, counters(5, 0), nil)
		sum := 0.0
		for _, f := range rest {
			sum += f.Controls(now).LimitShare
		}
		if broken := sum > tt.most || sum < tt.least; broken != tt.planted {
			t.Errorf("%s: %.2f N-ths are held, want %v to %v", tt.name, sum, tt.least, tt.most)
		}
	}
}

// TestRepeats: 300 members that all want to repeat as much as they may stay under the fleet's budget in
// every second, with a third of them cut off, and with one that has saved up planted for the check.
func TestRepeats(t *testing.T) {
	const n, first = 300, 4.0 // of each class, in half a second
	worst := func(plant bool) (most float64) {
		fleets, _ := team(n)
		rng := rand.New(rand.NewPCG(3, 3))
		var spent []Time
		far := func(i, j int) bool { return (j-i+n)%n > 4 }
		now := talk(fleets, half, 3*time.Second, counters(first, 0), far)
		for step := range 60 {
			if step%5 == 0 {
				for _, f := range fleets {
					f.AddCounters(now, counters(first, 0))
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
					if f.AllowRetry(now) || plant && step == 30 && i < n/3 {
						spent = append(spent, now)
					}
				}
			}
			now += 100 * time.Millisecond
			in := 0.0
			for _, at := range spent {
				if now-at <= time.Second {
					in++
				}
			}
			most = max(most, in)
		}
		return most
	}
	budget := 0.1 * n * 2 * first * float64(len(testClasses))
	if got := worst(false); got > budget+3*math.Sqrt(budget) || got < budget/3 {
		t.Errorf("%.0f repeats in a second, budget %.0f", got, budget)
	}
	if got := worst(true); got <= budget+3*math.Sqrt(budget) {
		t.Errorf("planted: %.0f repeats in a second pass, budget %.0f", got, budget)
	}
}

// FuzzTake: whatever comes, nothing panics and every number stays in its bounds; what is read is written alike.
func FuzzTake(f *testing.F) {
	f.Add(full(true).Append(nil))
	f.Add(full(false).Append(nil))
	f.Add([]byte{digestVersion, 1})
	fleets, _ := team(3)
	f.Add(fleets[1].NextDigest(half))
	f.Fuzz(func(t *testing.T, b []byte) {
		fleets, _ := team(3)
		fleets[0].AddCounters(half, counters(5, 0.2))
		for i := range 5 {
			now := Time(i+1) * half
			fleets[0].ReceiveDigest(now, b)
			fleets[0].ReceiveDigest(now, fleets[2].NextDigest(now))
			n := fleets[0].Controls(now)
			for _, v := range append([]float64{n.Confidence, n.RetryFraction, n.SlowStartFraction, n.LimitShare / shareMost}, n.ShedFraction[:]...) {
				if !(v >= 0 && v <= 1) {
					t.Fatalf("numbers %+v", n)
				}
			}
		}
		if d, err := ParseDigest(b); err == nil {
			if again, err := ParseDigest(d.Append(nil)); err != nil || !reflect.DeepEqual(d, again) {
				t.Fatalf("%+v, then %+v, %v", d, again, err)
			}
		}
	})
}

// BenchmarkSecond is what a second costs a member: two tellings, ten looks at its numbers and the digests
// that it hears.
func BenchmarkSecond(b *testing.B) {
	for _, heard := range []int{2, 300} {
		b.Run(fmt.Sprint(heard), func(b *testing.B) {
			fleets, _ := team(301)
			now := half
			for b.Loop() {
				for range 2 {
					fleets[0].AddCounters(now, counters(5, 0.1))
					now += half
				}
				for i := range 10 {
					fleets[0].Controls(now - time.Second + Time(i)*tick)
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

// BenchmarkShed is what the fleet costs a request.
func BenchmarkShed(b *testing.B) {
	n := Standalone()
	n.ShedFraction[0] = 0.5
	for i := uint64(0); b.Loop(); i++ {
		n.ShouldShed(0, i)
	}
}

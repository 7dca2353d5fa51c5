package model

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"oxbowloft/logic"
)

var (
	long  = flag.Bool("long", false, "300 members and five seeds in place of 30 and one")
	seeds = flag.Int("seeds", 0, "how many seeds in place of these")
)

const ms = time.Millisecond

func classes() []Class {
	class := func(name string, aim, deadline time.Duration, worth, mix float64, service time.Duration) Class {
		return Class{logic.Class{Name: name, TargetLatency: aim, Deadline: deadline, Value: worth}, mix, service}
	}
	return []Class{
		class("order", 400*ms, 2000*ms, 5, 0.2, 15*ms),
		class("read", 300*ms, 1500*ms, 1, 0.5, 10*ms),
		class("bulk", 600*ms, 3000*ms, 0.5, 0.3, 25*ms),
	}
}

// The spell lasts from second 10 to 30.
func config(seed uint64, times float64, large bool) Config {
	c := Config{
		Seed: seed, Members: 30, Zones: 3, Backends: 6, Cores: 4, QueueLimit: 200, Classes: classes(),
		Phases:       []Phase{{10 * time.Second, 0.7}, {20 * time.Second, times}, {10 * time.Second, 0.7}},
		TrafficSigma: 1, MaxTries: 3, ObeyRetryAfter: 0.7, PlannedUtilization: 1.0, GossipFanout: 3, DigestDelay: 30 * ms, CompactDigests: true,
	}
	if large {
		c.Members, c.Backends = 300, 24
	}
	return c
}

// part is the worth served of all that was offered from second a to b.
func part(r Result, a, b int) float64 {
	worth, offered := 0.0, 0.0
	for s := a; s < b; s++ {
		worth, offered = worth+r.ServedValue[s], offered+r.OfferedValue[s]
	}
	return worth / offered
}

// back is after how many seconds from the spell's end the worth is that of before, less a hundredth.
func back(r Result) int {
	s := 40
	for s > 30 && part(r, s-1, s) >= part(r, 2, 10)-0.01 {
		s--
	}
	return s - 30
}

// policies are those compared, and what each changes.
var policies = []struct {
	name string
	set  func(*Config)
}{
	{"seeing", func(c *Config) { c.Policy = Oracle }},
	{"alone", func(c *Config) {}},
	{"fleet", func(c *Config) { c.Policy = Coordinated }},
	{"fleet, 30% lost", func(c *Config) { c.Policy, c.DigestLoss = Coordinated, 0.3 }},
	{"fleet, third off", func(c *Config) { c.Policy, c.IsolatedMembers = Coordinated, c.Members/3 }},
	{"fleet, all lost", func(c *Config) { c.Policy, c.DigestLoss = Coordinated, 1 }},
}

var floors = map[float64]float64{1.5: 0.93, 2: 0.9, 4: 0.87}

// TestWorth prints what each policy served of the worth offered, and checks what is promised of it.
func TestWorth(t *testing.T) {
	n := 1
	if *long {
		n = 5
	}
	if *seeds > 0 {
		n = *seeds
	}
	for _, times := range []float64{1.5, 2, 4} {
		t.Run(fmt.Sprint(times), func(t *testing.T) { worth(t, times, n) })
	}
}

func worth(t *testing.T, times float64, n int) {
	t.Logf("%-16s %6s %6s %7s %6s %5s", "policy", "before", "spell", "settled", "of all", "back")
	spell := map[string]float64{}
	for _, p := range policies {
		var before, settled float64
		last := 0
		for seed := range n {
			c := config(uint64(seed+1), times, *long)
			p.set(&c)
			r := Run(c)
			before += part(r, 2, 10) / float64(n)
			spell[p.name] += part(r, 10, 30) / float64(n)
			settled += part(r, 15, 30) / float64(n)
			last = max(last, back(r))
		}
		of := "" // the policies are in the order that has it known
		if all := spell["seeing"]; all > 0 {
			of = fmt.Sprintf("%.3f", spell[p.name]/all)
		}
		t.Logf("%-16s %6.3f %6.3f %7.3f %6s %3d s", p.name, before, spell[p.name], settled, of, last)
		if p.name == "fleet" && last > 5 {
			t.Errorf("back after %d s", last)
		}
	}
	// Floors against getting worse, not the aim: that is 0.95 at twice the capacity.
	if of := spell["fleet"] / spell["seeing"]; of < floors[times] {
		t.Errorf("%.3f of the policy that sees all", of)
	}
	for _, p := range []string{"fleet, 30% lost", "fleet, third off"} {
		if spell[p] < spell["alone"]+0.02 {
			t.Errorf("%s: no better than alone", p)
		}
	}
	if lost, alone := spell["fleet, all lost"], spell["alone"]; lost != alone {
		t.Errorf("all digests lost: %v, alone %v", lost, alone)
	}
}

// TestSame plays the same configuration twice: the same trace to the byte, and another for another seed.
func TestSame(t *testing.T) {
	c := config(1, 2, false)
	c.Policy, c.DigestLoss = Coordinated, 0.3
	c.Phases = []Phase{{2 * time.Second, 0.7}, {4 * time.Second, 2}}
	one, two := Run(c), Run(c)
	if one.TraceHash != two.TraceHash || fmt.Sprint(one) != fmt.Sprint(two) {
		t.Errorf("runs differ: %x and %x", one.TraceHash, two.TraceHash)
	}
	c.Seed = 2
	if Run(c).TraceHash == one.TraceHash {
		t.Error("another seed, the same run")
	}
	if one.DigestBytes > 64 {
		t.Errorf("digests of %d bytes", one.DigestBytes)
	}
}

package model

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"oxbowloft/logic"
)

var (
	longRun   = flag.Bool("long", false, "run 300 members and five seeds instead of 30 members and one seed")
	seedCount = flag.Int("seeds", 0, "number of seeds, if not that of -long")
)

const ms = time.Millisecond

func classes() []Class {
	newClass := func(name string, targetLatency, deadline time.Duration, value, mix float64, service time.Duration) Class {
		return Class{logic.Class{Name: name, TargetLatency: targetLatency, Deadline: deadline, Value: value}, mix, service}
	}
	return []Class{
		newClass("order", 400*ms, 2000*ms, 5, 0.2, 15*ms),
		newClass("read", 300*ms, 1500*ms, 1, 0.5, 10*ms),
		newClass("bulk", 600*ms, 3000*ms, 0.5, 0.3, 25*ms),
	}
}

// config returns a run with an overload of the given load from second 10 to 30.
func config(seed uint64, load float64, large bool) Config {
	c := Config{
		Seed: seed, Members: 30, Zones: 3, Backends: 6, Cores: 4, QueueLimit: 200, Classes: classes(),
		Phases:       []Phase{{10 * time.Second, 0.7}, {20 * time.Second, load}, {10 * time.Second, 0.7}},
		TrafficSigma: 1, MaxTries: 3, ObeyRetryAfter: 0.7, PlannedUtilization: 1.0, GossipFanout: 3, DigestDelay: 30 * ms, CompactDigests: true,
	}
	if large {
		c.Members, c.Backends = 300, 24
	}
	return c
}

// servedShare returns the share of the offered value that was served from one second to another.
func servedShare(r Result, from, until int) float64 {
	served, offered := 0.0, 0.0
	for s := from; s < until; s++ {
		served, offered = served+r.ServedValue[s], offered+r.OfferedValue[s]
	}
	return served / offered
}

// recoverySeconds returns the seconds from the end of the overload until the served share is back at its level
// before the overload, less 0.01.
func recoverySeconds(r Result) int {
	s := 40
	for s > 30 && servedShare(r, s-1, s) >= servedShare(r, 2, 10)-0.01 {
		s--
	}
	return s - 30
}

// policies are the compared variants of the configuration. "seeing" is the oracle that the others are measured
// against, "alone" are balancers without digests, and "fleet" are balancers with digests.
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

// minOfOracle is, by load, the lowest accepted served share of the fleet, relative to the oracle's.
var minOfOracle = map[float64]float64{1.5: 0.93, 2: 0.9, 4: 0.87}

// TestServedValue logs the share of the offered value that each policy served before the overload, during it
// and during it without the first 5 s ("settled"), its ratio to the oracle's share during the overload, and
// the recovery time. The fleet has to reach minOfOracle and to recover within 5 s. With some digests lost it
// has to serve more than balancers alone, and with all of them lost exactly as much.
func TestServedValue(t *testing.T) {
	runs := 1
	if *longRun {
		runs = 5
	}
	if *seedCount > 0 {
		runs = *seedCount
	}
	for _, load := range []float64{1.5, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) { checkServedValue(t, load, runs) })
	}
}

func checkServedValue(t *testing.T, load float64, runs int) {
	t.Logf("%-16s %6s %6s %7s %6s %5s", "policy", "before", "during", "settled", "ratio", "recov")
	overload := map[string]float64{}
	for _, p := range policies {
		var before, settled float64
		recovery := 0
		for seed := range runs {
			c := config(uint64(seed+1), load, *longRun)
			p.set(&c)
			r := Run(c)
			before += servedShare(r, 2, 10) / float64(runs)
			overload[p.name] += servedShare(r, 10, 30) / float64(runs)
			settled += servedShare(r, 15, 30) / float64(runs)
			recovery = max(recovery, recoverySeconds(r))
		}
		ofOracle := "" // the oracle comes first in policies
		if oracle := overload["seeing"]; oracle > 0 {
			ofOracle = fmt.Sprintf("%.3f", overload[p.name]/oracle)
		}
		t.Logf("%-16s %6.3f %6.3f %7.3f %6s %3d s", p.name, before, overload[p.name], settled, ofOracle, recovery)
		if p.name == "fleet" && recovery > 5 {
			t.Errorf("recovered after %d s", recovery)
		}
	}
	// These bounds detect regressions. The goal is 0.95 at twice the capacity.
	if ofOracle := overload["fleet"] / overload["seeing"]; ofOracle < minOfOracle[load] {
		t.Errorf("served %.3f of what the oracle served", ofOracle)
	}
	for _, p := range []string{"fleet, 30% lost", "fleet, third off"} {
		if overload[p] < overload["alone"]+0.02 {
			t.Errorf("%s: less than 0.02 better than balancers alone", p)
		}
	}
	if lost, alone := overload["fleet, all lost"], overload["alone"]; lost != alone {
		t.Errorf("all digests lost: served %v, balancers alone %v", lost, alone)
	}
}

// TestSameConfigSameRun checks that a configuration always gives the same trace, and another seed a different
// one. It also checks the size of compact digests.
func TestSameConfigSameRun(t *testing.T) {
	c := config(1, 2, false)
	c.Policy, c.DigestLoss = Coordinated, 0.3
	c.Phases = []Phase{{2 * time.Second, 0.7}, {4 * time.Second, 2}}
	first, second := Run(c), Run(c)
	if first.TraceHash != second.TraceHash || fmt.Sprint(first) != fmt.Sprint(second) {
		t.Errorf("runs differ: %x and %x", first.TraceHash, second.TraceHash)
	}
	c.Seed = 2
	if Run(c).TraceHash == first.TraceHash {
		t.Error("runs with different seeds are equal")
	}
	if first.DigestBytes > 64 {
		t.Errorf("digest has %d bytes, more than 64", first.DigestBytes)
	}
}

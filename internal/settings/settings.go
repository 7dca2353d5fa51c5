// Package settings reads the settings object of a balancer, which the bench's
// first message and a proxy's configuration share, into the module's Settings.
package settings

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"oxbowloft/logic"
)

// Config is the part of the settings object that the project uses. Times are
// in milliseconds; fields that it does not know are skipped.
type Config struct {
	Zone    string   `json:"az"`
	Zones   []string `json:"zones"`
	Classes []struct {
		Name            string  `json:"name"`
		TargetLatencyMs float64 `json:"aim-ms"`
		ClientTimeoutMs float64 `json:"give-up-ms"`
		DedupScope      string  `json:"group"`
		Idempotency     string  `json:"idempotency"`
		DedupWindowMs   float64 `json:"memory-span-ms"`
		Value           float64 `json:"worth"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marks-retry"`
	} `json:"clients"`
	Discovery string `json:"discovery"`
	Goal      struct {
		Overall    float64 `json:"whole"`
		WorstClass float64 `json:"worst-class"`
	} `json:"goal"`
	Limits struct {
		ConnIdleMs      float64 `json:"conn-idle-ms"`
		DialTimeoutMs   float64 `json:"dial-timeout-ms"`
		MayAnnounce     bool    `json:"may-tell"`
		Probing         bool    `json:"probing"`
		StreamsPerConn  int     `json:"streams-per-conn"`
		Cancel          bool    `json:"cancel"`
		MaxAttempts     int     `json:"max-attempts"`
		MaxRetryAfterMs float64 `json:"max-retry-after-ms"`
		RetryAfter      bool    `json:"retry-after"`
	} `json:"limits"`
	Report struct {
		Mode string `json:"how"`
	} `json:"report"`
	Rules struct {
		ListRequestWithinMs   float64 `json:"ask-within-ms"`
		DrainGraceMs          float64 `json:"stop-sending-within-ms"`
		SlowStartInitialShare float64 `json:"cold-from"`
		WarmUpMs              float64 `json:"warm-within-ms"`
	} `json:"rules"`
	Topology      string   `json:"kind-of-service"`
	Tier          int      `json:"stage"`
	Tiers         []string `json:"tiers"`
	Balancers     int      `json:"balancers"`
	BalancerIndex int      `json:"me"`
}

// The shapes of a deployment, as kind-of-service names them.
const (
	TopologyChain = "chain" // tiers, each behind a few proxies with like traffic; also where nothing is said
	TopologyProxy = "proxy" // one such tier
	TopologyMesh  = "mesh"  // each client process has a proxy of its own, with unlike traffic
)

// The ways of discovery.
const (
	discoveryAsked  = "on_request"
	discoveryPushed = "pushed" // also where nothing is said
)

// Validate tells which key can't be served safely. What a deployment permits and the
// program does not use is no reason to refuse, nor is a limit that it stays under:
// guards against an operator whose settings are right and whose proxy does not start.
func (o *Config) Validate() error {
	mesh := o.Topology == TopologyMesh
	for _, c := range []struct {
		key   string
		wrong bool
		why   string
	}{
		// Another shape's numbers would be the wrong ones.
		{"kind-of-service", !mesh && o.Topology != TopologyChain && o.Topology != TopologyProxy && o.Topology != "", "none of chain, proxy, mesh"},
		{"discovery", o.Discovery != discoveryAsked && o.Discovery != discoveryPushed && o.Discovery != "",
			"neither on_request nor pushed"},
		{"limits: streams-per-conn", o.Limits.StreamsPerConn < 0, "below zero"},
		{"limits: max-attempts", o.Limits.MaxAttempts < 1, "below 1"},
		{"limits: conn-idle-ms", !amount(o.Limits.ConnIdleMs), badAmount},
		{"limits: dial-timeout-ms", !amount(o.Limits.DialTimeoutMs), badAmount},
		{"limits: max-retry-after-ms", !amount(o.Limits.MaxRetryAfterMs), badAmount},
		{"rules: ask-within-ms", !amount(o.Rules.ListRequestWithinMs), badAmount},
		{"rules: stop-sending-within-ms", !amount(o.Rules.DrainGraceMs), badAmount},
		{"rules: warm-within-ms", !amount(o.Rules.WarmUpMs), badAmount},
		{"rules: cold-from", !amount(o.Rules.SlowStartInitialShare) || o.Rules.SlowStartInitialShare > 1, "no share from 0 to 1"},
		{"goal: whole", !amount(o.Goal.Overall), badAmount},
		{"goal: worst-class", !amount(o.Goal.WorstClass), badAmount},
		{"stage", o.Tier < 0, "below zero"},
		// A client process calls one tier, the first.
		{"stage", mesh && o.Tier > 0, "over 0 where kind-of-service is mesh"},
		{"tiers", mesh && len(o.Tiers) > 1, "more than one where kind-of-service is mesh"},
		{"balancers", o.Balancers < 0, "below zero"},
		// Each takes its part by these: without them all would meet at the same cold backends.
		{"balancers", mesh && o.Balancers == 0, "missing, and needed where kind-of-service is mesh"},
		{"me", o.BalancerIndex < 0, "below zero"},
		{"me", mesh && o.BalancerIndex >= max(1, o.Balancers), "not below balancers"},
		{"classes", len(o.Classes) == 0, "none"},
	} {
		if c.wrong {
			return fmt.Errorf("%s: %s", c.key, c.why)
		}
	}
	return o.checkClasses()
}

// checkClasses tells which class can't be served safely. Idempotency and group are
// Logic's to read.
func (o *Config) checkClasses() error {
	seen := map[string]bool{}
	for i, c := range o.Classes {
		if c.Name == "" { // guards against requests that name no class, and would be of this one
			return fmt.Errorf("classes: number %d: name: missing", i)
		}
		if seen[c.Name] { // the two may differ in what a repeat does
			return fmt.Errorf("classes: %q: name: given twice", c.Name)
		}
		seen[c.Name] = true
		for _, n := range []struct {
			key   string
			wrong bool
			why   string
		}{
			{"aim-ms", !amount(c.TargetLatencyMs), badAmount},
			{"give-up-ms", !amount(c.ClientTimeoutMs), badAmount},
			{"give-up-ms", c.ClientTimeoutMs == 0, "missing or 0"}, // nothing could be served in it
			{"memory-span-ms", !amount(c.DedupWindowMs), badAmount},
			{"worth", !amount(c.Value), badAmount},
		} {
			if n.wrong {
				return fmt.Errorf("classes: %q: %s: %s", c.Name, n.key, n.why)
			}
		}
	}
	return nil
}

const badAmount = "below zero or not finite"

// amount tells whether v is a number that a time, a weight or a worth can be.
func amount(v float64) bool { return v >= 0 && v <= math.MaxFloat64 }

// ListsOnRequest tells whether lists come only once asked for, and within what time to ask again
// then; 0: the settings do not say. Where they are pushed it returns false.
func (o *Config) ListsOnRequest() (within time.Duration, asked bool) {
	return span(o.Rules.ListRequestWithinMs), o.Discovery == discoveryAsked
}

// LogicSettings returns the module's settings. The seed comes beside the object, since
// it is new with each start.
func (o *Config) LogicSettings(seed uint64) (logic.Settings, error) {
	set := logic.Settings{
		Seed:            seed,
		Zone:            o.Zone,
		Zones:           o.Zones,
		Tier:            o.Tier,
		BalancerCount:   o.Balancers,
		BalancerIndex:   o.BalancerIndex,
		UnevenTraffic:   o.Topology == TopologyMesh,
		CancelAbandoned: o.Limits.Cancel && o.Topology == TopologyMesh,
		// By worth, the worst-served class is always the same one; where it weighs this much, it must not be.
		EqualClasses:          o.Goal.WorstClass > 0 && o.Goal.WorstClass >= o.Goal.Overall/2,
		MaxAttempts:           o.Limits.MaxAttempts,
		DrainGrace:            span(o.Rules.DrainGraceMs),
		InitialWarmUpFraction: o.Rules.SlowStartInitialShare,
		WarmUpTime:            span(o.Rules.WarmUpMs),
	}
	if o.Limits.RetryAfter {
		set.MaxRetryAfter = span(o.Limits.MaxRetryAfterMs)
	}
	repeats := map[string]logic.Idempotency{"free": logic.Idempotent, "guarded": logic.Deduplicated, "single_shot": logic.NonIdempotent}
	scopes := map[string]logic.DedupScope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}
	for _, c := range o.Classes {
		repeat, ok := repeats[c.Idempotency]
		if !ok {
			return set, fmt.Errorf("classes: %q: idempotency: unknown %q", c.Name, c.Idempotency)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok && repeat == logic.Deduplicated {
			return set, fmt.Errorf("classes: %q: group: unknown %q", c.Name, c.DedupScope)
		}
		set.Classes = append(set.Classes, logic.Class{
			Name:          c.Name,
			TargetLatency: span(cmp.Or(c.TargetLatencyMs, c.ClientTimeoutMs)), // without an aim any answer in time will do
			Deadline:      span(c.ClientTimeoutMs),
			Value:         c.Value,
			Idempotency:   repeat,
			DedupScope:    scope,
			DedupWindow:   span(c.DedupWindowMs),
		})
	}
	return set, nil
}

// longest is how long a time of the settings can be: some say "for ever" by a number that
// the module's sums would overflow by.
const longest = 365 * 24 * time.Hour

// span turns a time of the settings into a duration.
func span(ms float64) time.Duration { return min(Duration(ms), longest) }

// Duration turns milliseconds into a duration; what is too much for one is as much as
// still leaves room for sums.
func Duration(ms float64) time.Duration {
	const most = 1 << 62
	return time.Duration(max(-most, min(ms*float64(time.Millisecond), most)))
}

// Milliseconds turns a duration into milliseconds.
func Milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

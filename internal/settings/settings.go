// Package settings defines the settings object of a balancer and converts it into the
// settings of the decision module. The simulator's first message and the configuration of a
// proxy have the same object.
package settings

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"oxbowloft/logic"
)

// Config is the part of the settings object that the project uses. Unknown keys are ignored.
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
		InitialWarmUpFraction float64 `json:"cold-from"`
		WarmUpMs              float64 `json:"warm-within-ms"`
	} `json:"rules"`
	Topology      string   `json:"kind-of-service"`
	Tier          int      `json:"stage"`
	Tiers         []string `json:"tiers"`
	Balancers     int      `json:"balancers"`
	BalancerIndex int      `json:"me"`
}

// Values of kind-of-service.
const (
	TopologyChain = "chain" // tiers, each behind a few proxies with similar traffic; the default
	TopologyProxy = "proxy" // a single tier of that kind
	TopologyMesh  = "mesh"  // one proxy per client process, each with different traffic
)

// Values of discovery.
const (
	discoveryOnRequest = "on_request"
	discoveryPushed    = "pushed" // the default
)

// Validate returns an error that names the first key whose value can't be served safely. It
// accepts permissions that the program does not use and limits that it never reaches, so
// that a proxy with correct settings always starts.
func (cfg *Config) Validate() error {
	mesh := cfg.Topology == TopologyMesh
	for _, c := range []struct {
		key     string
		invalid bool
		reason  string
	}{
		// The decision module's parameters depend on the topology.
		{"kind-of-service", !mesh && cfg.Topology != TopologyChain && cfg.Topology != TopologyProxy && cfg.Topology != "", "must be chain, proxy or mesh"},
		{"discovery", cfg.Discovery != discoveryOnRequest && cfg.Discovery != discoveryPushed && cfg.Discovery != "",
			"must be on_request or pushed"},
		{"limits: streams-per-conn", cfg.Limits.StreamsPerConn < 0, "below zero"},
		{"limits: max-attempts", cfg.Limits.MaxAttempts < 1, "below 1"},
		{"limits: conn-idle-ms", !isAmount(cfg.Limits.ConnIdleMs), invalidAmount},
		{"limits: dial-timeout-ms", !isAmount(cfg.Limits.DialTimeoutMs), invalidAmount},
		{"limits: max-retry-after-ms", !isAmount(cfg.Limits.MaxRetryAfterMs), invalidAmount},
		{"rules: ask-within-ms", !isAmount(cfg.Rules.ListRequestWithinMs), invalidAmount},
		{"rules: stop-sending-within-ms", !isAmount(cfg.Rules.DrainGraceMs), invalidAmount},
		{"rules: warm-within-ms", !isAmount(cfg.Rules.WarmUpMs), invalidAmount},
		{"rules: cold-from", !isAmount(cfg.Rules.InitialWarmUpFraction) || cfg.Rules.InitialWarmUpFraction > 1, "not a fraction from 0 to 1"},
		{"goal: whole", !isAmount(cfg.Goal.Overall), invalidAmount},
		{"goal: worst-class", !isAmount(cfg.Goal.WorstClass), invalidAmount},
		{"stage", cfg.Tier < 0, "below zero"},
		// In a mesh, client processes call only the first tier.
		{"stage", mesh && cfg.Tier > 0, "must be 0 if kind-of-service is mesh"},
		{"tiers", mesh && len(cfg.Tiers) > 1, "must be at most one if kind-of-service is mesh"},
		{"balancers", cfg.Balancers < 0, "below zero"},
		// Each balancer selects its subset of the backends by balancers and me. Without them
		// all would send to the same backends in slow start.
		{"balancers", mesh && cfg.Balancers == 0, "missing; required if kind-of-service is mesh"},
		{"me", cfg.BalancerIndex < 0, "below zero"},
		{"me", mesh && cfg.BalancerIndex >= max(1, cfg.Balancers), "must be less than balancers"},
		{"classes", len(cfg.Classes) == 0, "missing"},
	} {
		if c.invalid {
			return fmt.Errorf("%s: %s", c.key, c.reason)
		}
	}
	return cfg.validateClasses()
}

// validateClasses checks the classes apart from idempotency and group, which LogicSettings
// checks.
func (cfg *Config) validateClasses() error {
	seen := map[string]bool{}
	for i, c := range cfg.Classes {
		if c.Name == "" { // requests without a class would belong to it
			return fmt.Errorf("classes: number %d: name: missing", i)
		}
		if seen[c.Name] { // the two might differ in idempotency
			return fmt.Errorf("classes: %q: name: given twice", c.Name)
		}
		seen[c.Name] = true
		for _, n := range []struct {
			key     string
			invalid bool
			reason  string
		}{
			{"aim-ms", !isAmount(c.TargetLatencyMs), invalidAmount},
			{"give-up-ms", !isAmount(c.ClientTimeoutMs), invalidAmount},
			{"give-up-ms", c.ClientTimeoutMs == 0, "missing or 0"}, // no request could be served in time
			{"memory-span-ms", !isAmount(c.DedupWindowMs), invalidAmount},
			{"worth", !isAmount(c.Value), invalidAmount},
		} {
			if n.invalid {
				return fmt.Errorf("classes: %q: %s: %s", c.Name, n.key, n.reason)
			}
		}
	}
	return nil
}

const invalidAmount = "below zero or not finite"

// isAmount reports whether v is valid as a time, a weight or a value of a class.
func isAmount(v float64) bool { return v >= 0 && v <= math.MaxFloat64 }

// ListsOnRequest reports whether lists have to be requested from discovery, and the time
// within which a lost watch has to be requested again, 0 if it is not configured. onRequest
// is false if lists are pushed.
func (cfg *Config) ListsOnRequest() (within time.Duration, onRequest bool) {
	return boundedDuration(cfg.Rules.ListRequestWithinMs), cfg.Discovery == discoveryOnRequest
}

// LogicSettings returns the settings of the decision module. The seed is not part of the
// object, since it differs from start to start.
func (cfg *Config) LogicSettings(seed uint64) (logic.Settings, error) {
	set := logic.Settings{
		Seed:            seed,
		Zone:            cfg.Zone,
		Zones:           cfg.Zones,
		Tier:            cfg.Tier,
		BalancerCount:   cfg.Balancers,
		BalancerIndex:   cfg.BalancerIndex,
		UnevenTraffic:   cfg.Topology == TopologyMesh,
		CancelAbandoned: cfg.Limits.Cancel && cfg.Topology == TopologyMesh,
		// Shedding load by value always hits the class of the least value. If the goal gives
		// the worst-served class this much weight, all classes have to be treated equally.
		EqualClasses:          cfg.Goal.WorstClass > 0 && cfg.Goal.WorstClass >= cfg.Goal.Overall/2,
		MaxAttempts:           cfg.Limits.MaxAttempts,
		DrainGrace:            boundedDuration(cfg.Rules.DrainGraceMs),
		InitialWarmUpFraction: cfg.Rules.InitialWarmUpFraction,
		WarmUpTime:            boundedDuration(cfg.Rules.WarmUpMs),
	}
	if cfg.Limits.RetryAfter {
		set.MaxRetryAfter = boundedDuration(cfg.Limits.MaxRetryAfterMs)
	}
	idempotencies := map[string]logic.Idempotency{"free": logic.Idempotent, "guarded": logic.Deduplicated, "single_shot": logic.NonIdempotent}
	scopes := map[string]logic.DedupScope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}
	for _, c := range cfg.Classes {
		idempotency, ok := idempotencies[c.Idempotency]
		if !ok {
			return set, fmt.Errorf("classes: %q: idempotency: unknown %q", c.Name, c.Idempotency)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok && idempotency == logic.Deduplicated {
			return set, fmt.Errorf("classes: %q: group: unknown %q", c.Name, c.DedupScope)
		}
		set.Classes = append(set.Classes, logic.Class{
			Name:          c.Name,
			TargetLatency: boundedDuration(cmp.Or(c.TargetLatencyMs, c.ClientTimeoutMs)), // without a target, any response before the client timeout counts
			Deadline:      boundedDuration(c.ClientTimeoutMs),
			Value:         c.Value,
			Idempotency:   idempotency,
			DedupScope:    scope,
			DedupWindow:   boundedDuration(c.DedupWindowMs),
		})
	}
	return set, nil
}

// maxSettingsDuration bounds the times of the settings. Some files express "forever" by a
// number so large that sums of times in the decision module would overflow.
const maxSettingsDuration = 365 * 24 * time.Hour

// boundedDuration converts a time of the settings, in milliseconds, into a duration of at
// most maxSettingsDuration.
func boundedDuration(ms float64) time.Duration { return min(Duration(ms), maxSettingsDuration) }

// Duration converts milliseconds into a duration. Times out of range are clamped to half the
// largest duration, so that two of them can be added.
func Duration(ms float64) time.Duration {
	const maxNanoseconds = 1 << 62
	return time.Duration(max(-maxNanoseconds, min(ms*float64(time.Millisecond), maxNanoseconds)))
}

// Milliseconds converts a duration into milliseconds.
func Milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

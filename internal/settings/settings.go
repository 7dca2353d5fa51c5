// Package settings reads the settings object of a balancer, which the bench's
// first message and a proxy's configuration share, into the module's Settings.
package settings

import (
	"fmt"
	"time"

	"oxbowloft/logic"
)

// Object is the part of the settings object that the project uses. Times are
// in milliseconds; fields that it does not know are skipped.
type Object struct {
	Zone    string   `json:"az"`
	Zones   []string `json:"zones"`
	Classes []struct {
		Name        string  `json:"name"`
		Aim         float64 `json:"aim-ms"`
		GiveUp      float64 `json:"give-up-ms"`
		Group       string  `json:"group"`
		Idempotency string  `json:"idempotency"`
		Memory      float64 `json:"memory-span-ms"`
		Worth       float64 `json:"worth"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Limits    struct {
		ConnIdle      float64 `json:"conn-idle-ms"`
		DialTimeout   float64 `json:"dial-timeout-ms"`
		MaxAttempts   int     `json:"max-attempts"`
		MaxRetryAfter float64 `json:"max-retry-after-ms"`
		RetryAfter    bool    `json:"retry-after"`
	} `json:"limits"`
	Rules struct {
		AskWithin  float64 `json:"ask-within-ms"`
		ColdFrom   float64 `json:"cold-from"`
		WarmWithin float64 `json:"warm-within-ms"`
	} `json:"rules"`
	Kind      string `json:"kind-of-service"`
	Stage     int    `json:"stage"`
	Balancers int    `json:"balancers"`
	Me        int    `json:"me"`
}

// Logic returns the module's settings. The seed comes beside the object, since
// it is new with each start.
func (o *Object) Logic(seed uint64) (logic.Settings, error) {
	set := logic.Settings{
		Seed:        seed,
		Zone:        o.Zone,
		Zones:       o.Zones,
		Tier:        o.Stage,
		Balancers:   o.Balancers,
		Me:          o.Me,
		Uneven:      o.Kind == "mesh",
		MaxAttempts: o.Limits.MaxAttempts,
		AskForList:  o.Discovery == "on_request",
		AskWithin:   Duration(o.Rules.AskWithin),
		ColdShare:   o.Rules.ColdFrom,
		WarmWithin:  Duration(o.Rules.WarmWithin),
	}
	if o.Limits.RetryAfter {
		set.MaxComeBack = Duration(o.Limits.MaxRetryAfter)
	}
	repeats := map[string]logic.Repeat{"free": logic.Safe, "guarded": logic.Keyed, "single_shot": logic.Unsafe}
	scopes := map[string]logic.Scope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}
	for _, c := range o.Classes {
		repeat, ok := repeats[c.Idempotency]
		if !ok {
			return set, fmt.Errorf("class %q: unknown idempotency %q", c.Name, c.Idempotency)
		}
		scope, ok := scopes[c.Group]
		if !ok && repeat == logic.Keyed {
			return set, fmt.Errorf("class %q: unknown group %q", c.Name, c.Group)
		}
		set.Classes = append(set.Classes, logic.Class{
			Name:     c.Name,
			Aim:      Duration(c.Aim),
			Deadline: Duration(c.GiveUp),
			Worth:    c.Worth,
			Repeat:   repeat,
			Scope:    scope,
			Memory:   Duration(c.Memory),
		})
	}
	return set, nil
}

// Duration turns milliseconds into a duration.
func Duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Milliseconds turns a duration into milliseconds.
func Milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

package settings

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"
)

// The module's settings follow the topology. A configuration without kind-of-service, as
// older ones are, gets the settings of a chain.
func TestTopology(t *testing.T) {
	for _, c := range []struct {
		name, text    string
		unevenTraffic bool
		equalClasses  bool
	}{
		{"default", ``, false, false},
		{"chain", `"kind-of-service":"chain","stage":1,"tiers":["a","b"],"zones":["x","y"],
			"limits":{"streams-per-conn":1,"probing":true},"report":{"how":"on_probe"},
			"goal":{"whole":0.6,"worst-class":0.2}`, false, false},
		{"mesh", `"kind-of-service":"mesh","tiers":["a"],"zones":["x"],"balancers":3,"me":2,"clients":{"marks-retry":true},
			"limits":{"streams-per-conn":100,"may-tell":true},"report":{"how":"off"},
			"goal":{"whole":0.45,"worst-class":0.3}`, true, true},
	} {
		o := parse(t, c.text)
		if err := o.Validate(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if set, err := o.LogicSettings(1); err != nil || set.UnevenTraffic != c.unevenTraffic || set.EqualClasses != c.equalClasses {
			t.Errorf("%s: uneven traffic %t, equal classes %t, %v", c.name, set.UnevenTraffic, set.EqualClasses, err)
		}
	}
}

// parse parses text with valid classes and attempts added, unless text has its own.
func parse(t *testing.T, text string) *Config {
	t.Helper()
	base := `"limits":{"max-attempts":2}`
	if !strings.Contains(text, `"classes"`) {
		base += `,"classes":[{"name":"get","idempotency":"free","give-up-ms":1000}]`
	}
	o := &Config{}
	for _, part := range []string{base, text} {
		if err := json.Unmarshal([]byte("{"+part+"}"), o); err != nil {
			t.Fatal(err)
		}
	}
	return o
}

// Settings that can be served are accepted, also permissions that the program does not use
// and limits that it never reaches: otherwise a proxy with correct settings would not start.
func TestAcceptedSettings(t *testing.T) {
	const mesh = `"kind-of-service":"mesh","balancers":3`
	for _, text := range []string{
		``,
		`"kind-of-service":"proxy"`,
		`"limits":{"streams-per-conn":1}`,
		`"limits":{"streams-per-conn":100}`,
		`"limits":{"may-tell":true}`,
		`"limits":{"probing":true,"cancel":true}`,
		`"limits":{"retry-after":true,"max-retry-after-ms":0}`,
		`"limits":{"conn-idle-ms":0,"dial-timeout-ms":0}`,
		`"clients":{"marks-retry":true}`,
		`"clients":null,"goal":null,"report":null,"rules":null,"zones":null,"tiers":null`,
		`"report":{"how":"inline"}`,
		`"report":{"how":"a way to come"}`,
		`"discovery":"on_request"`,
		`"discovery":"pushed"`,
		`"az":"nowhere","zones":["a","b"]`,
		`"stage":1,"tiers":["a","b"],"zones":["a","b"],"balancers":0,"me":7`,
		`"rules":{"cold-from":0,"warm-within-ms":0,"ask-within-ms":0,"stop-sending-within-ms":0}`,
		`"rules":{"cold-from":1}`,
		`"classes":[{"name":"get","idempotency":"free","give-up-ms":1,"aim-ms":0,"worth":0,"group":"of no use here"}]`,
		`"classes":[{"name":"put","idempotency":"guarded","group":"cell","memory-span-ms":0,"give-up-ms":1e300}]`,
		mesh + `,"limits":{"streams-per-conn":1}`,
		mesh + `,"limits":{"streams-per-conn":100}`,
		mesh + `,"limits":{"probing":true}`,
		mesh + `,"report":{"how":"inline"}`,
		mesh + `,"report":{"how":"on_probe"}`,
		mesh + `,"zones":["a","b"],"stage":0,"tiers":["a"],"me":2`,
		mesh + `,"clients":{"marks-retry":false}`,
	} {
		o := parse(t, text)
		if err := o.Validate(); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if _, err := o.LogicSettings(1); err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Settings that can't be served safely are rejected with a single line that names the key.
func TestRejectedSettings(t *testing.T) {
	const mesh = `"kind-of-service":"mesh","balancers":3`
	class := func(text string) string {
		return `"classes":[{"name":"first","idempotency":"free","give-up-ms":1},` + text + `]`
	}
	put := func(text string) string { return class(`{"name":"put",` + text + `}`) }
	for _, c := range []struct{ text, key string }{
		{`"kind-of-service":"ring"`, "kind-of-service"},
		{`"discovery":"by letter"`, "discovery"},
		{`"limits":{"streams-per-conn":-1}`, "limits: streams-per-conn"},
		{`"limits":{"max-attempts":0}`, "limits: max-attempts"},
		{`"limits":{"max-attempts":-1}`, "limits: max-attempts"},
		{`"limits":{"conn-idle-ms":-1}`, "limits: conn-idle-ms"},
		{`"limits":{"dial-timeout-ms":-0.5}`, "limits: dial-timeout-ms"},
		{`"limits":{"max-retry-after-ms":-1}`, "limits: max-retry-after-ms"},
		{`"rules":{"ask-within-ms":-1}`, "rules: ask-within-ms"},
		{`"rules":{"stop-sending-within-ms":-1}`, "rules: stop-sending-within-ms"},
		{`"rules":{"warm-within-ms":-1}`, "rules: warm-within-ms"},
		{`"rules":{"cold-from":-0.1}`, "rules: cold-from"},
		{`"rules":{"cold-from":1.1}`, "rules: cold-from"},
		{`"goal":{"whole":-1}`, "goal: whole"},
		{`"goal":{"worst-class":-0.1}`, "goal: worst-class"},
		{`"stage":-1`, "stage"},
		{`"balancers":-1`, "balancers"},
		{`"me":-1`, "me"},
		{mesh + `,"stage":1`, "stage"},
		{mesh + `,"tiers":["a","b"]`, "tiers"},
		{mesh + `,"me":3`, "me"},
		{`"kind-of-service":"mesh"`, "balancers"},
		{`"classes":null`, "classes"},
		{`"classes":[]`, "classes"},
		{class(`null`), "classes: number 1: name"},
		{class(`{"name":"","idempotency":"free","give-up-ms":1}`), "classes: number 1: name"},
		{class(`{"name":"first","idempotency":"single_shot","give-up-ms":1}`), `classes: "first": name`},
		{put(`"idempotency":"free"`), `classes: "put": give-up-ms`},
		{put(`"idempotency":"free","give-up-ms":0`), `classes: "put": give-up-ms`},
		{put(`"idempotency":"free","give-up-ms":-1`), `classes: "put": give-up-ms`},
		{put(`"idempotency":"free","give-up-ms":1,"aim-ms":-1`), `classes: "put": aim-ms`},
		{put(`"idempotency":"free","give-up-ms":1,"memory-span-ms":-1`), `classes: "put": memory-span-ms`},
		{put(`"idempotency":"free","give-up-ms":1,"worth":-1`), `classes: "put": worth`},
		{put(`"give-up-ms":1`), `classes: "put": idempotency`},
		{put(`"idempotency":"may\nbe","give-up-ms":1`), `classes: "put": idempotency`},
		{put(`"idempotency":"guarded","give-up-ms":1`), `classes: "put": group`},
		{put(`"idempotency":"guarded","give-up-ms":1,"group":"some"`), `classes: "put": group`},
	} {
		o := parse(t, c.text)
		err := o.Validate()
		if err == nil {
			_, err = o.LogicSettings(1)
		}
		if err == nil || !strings.HasPrefix(err.Error(), c.key+":") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want an error that names %s", c.text, err, c.key)
		}
	}
}

// JSON has no such numbers, but a program that embeds the proxy may fill in the object by
// other means.
func TestNonFiniteNumbersAreRejected(t *testing.T) {
	for _, number := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		for key, field := range map[string]func(*Config) *float64{
			"limits: conn-idle-ms":           func(o *Config) *float64 { return &o.Limits.ConnIdleMs },
			"limits: dial-timeout-ms":        func(o *Config) *float64 { return &o.Limits.DialTimeoutMs },
			"limits: max-retry-after-ms":     func(o *Config) *float64 { return &o.Limits.MaxRetryAfterMs },
			"rules: ask-within-ms":           func(o *Config) *float64 { return &o.Rules.ListRequestWithinMs },
			"rules: stop-sending-within-ms":  func(o *Config) *float64 { return &o.Rules.DrainGraceMs },
			"rules: warm-within-ms":          func(o *Config) *float64 { return &o.Rules.WarmUpMs },
			"rules: cold-from":               func(o *Config) *float64 { return &o.Rules.InitialWarmUpFraction },
			"goal: whole":                    func(o *Config) *float64 { return &o.Goal.Overall },
			"goal: worst-class":              func(o *Config) *float64 { return &o.Goal.WorstClass },
			`classes: "get": aim-ms`:         func(o *Config) *float64 { return &o.Classes[0].TargetLatencyMs },
			`classes: "get": give-up-ms`:     func(o *Config) *float64 { return &o.Classes[0].ClientTimeoutMs },
			`classes: "get": memory-span-ms`: func(o *Config) *float64 { return &o.Classes[0].DedupWindowMs },
			`classes: "get": worth`:          func(o *Config) *float64 { return &o.Classes[0].Value },
		} {
			o := parse(t, ``)
			*field(o) = number
			if err := o.Validate(); err == nil || !strings.HasPrefix(err.Error(), key+":") {
				t.Errorf("%s is %v: got %v", key, number, err)
			}
		}
	}
}

// Prevents overflow of sums where a file expresses "forever" by a huge number, and a target
// latency of 0 where none is given, by which every response would be late.
func TestExtremeDurations(t *testing.T) {
	o := parse(t, `"classes":[{"name":"put","idempotency":"guarded","group":"all","give-up-ms":1e300,"memory-span-ms":1e15}],
		"rules":{"ask-within-ms":1e18,"stop-sending-within-ms":1e18,"warm-within-ms":1e18},
		"limits":{"retry-after":true,"max-retry-after-ms":1e18}`)
	set, err := o.LogicSettings(1)
	if err != nil {
		t.Fatal(err)
	}
	c := set.Classes[0]
	requestWithin, _ := o.ListsOnRequest()
	for i, d := range []time.Duration{c.TargetLatency, c.Deadline, c.DedupWindow, requestWithin, set.DrainGrace, set.WarmUpTime, set.MaxRetryAfter} {
		if d != maxSettingsDuration {
			t.Errorf("duration %d is %v", i, d)
		}
	}
	if set, err := parse(t, ``).LogicSettings(1); err != nil || set.Classes[0].TargetLatency != time.Second {
		t.Errorf("default target latency is %v, %v", set.Classes[0].TargetLatency, err)
	}
	for _, ms := range []float64{1e300, math.Inf(1)} {
		if positive, negative := Duration(ms), Duration(-ms); positive < maxSettingsDuration ||
			time.Duration(time.Now().UnixNano())+positive < positive || negative != -positive {
			t.Errorf("%g ms are %v, and their negative is %v", ms, positive, negative)
		}
	}
	if d := Duration(1.5); d != 1500*time.Microsecond {
		t.Errorf("1.5 ms are %v", d)
	}
}

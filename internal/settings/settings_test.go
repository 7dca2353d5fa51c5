package settings

import (
	"encoding/json"
	"strings"
	"testing"
)

// A configuration that names no shape is the old one: the module's settings are what
// they were. One build serves both.
func TestShape(t *testing.T) {
	for _, c := range []struct {
		name, text string
		uneven     bool
		even       bool
	}{
		{"nothing said", `{}`, false, false},
		{"chain", `{"kind-of-service":"chain","stage":1,"tiers":["a","b"],"zones":["x","y"],
			"limits":{"streams-per-conn":1,"probing":true},"report":{"how":"on_probe"},
			"goal":{"whole":0.6,"worst-class":0.2}}`, false, false},
		{"mesh", `{"kind-of-service":"mesh","tiers":["a"],"zones":["x"],"balancers":3,"me":2,"clients":{"marks-retry":true},
			"limits":{"streams-per-conn":100,"may-tell":true},"report":{"how":"off"},
			"goal":{"whole":0.45,"worst-class":0.3}}`, true, true},
	} {
		var o Object
		if err := json.Unmarshal([]byte(c.text), &o); err != nil {
			t.Fatal(err)
		}
		if err := o.Check(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if set, err := o.Logic(1); err != nil || set.Uneven != c.uneven || set.EvenClasses != c.even {
			t.Errorf("%s: uneven %t, even classes %t, %v", c.name, set.Uneven, set.EvenClasses, err)
		}
	}
}

// Guards against one shape run with the other's numbers: the key at fault is named.
func TestMixes(t *testing.T) {
	const mesh = `"kind-of-service":"mesh","balancers":3`
	for _, c := range []struct{ text, key string }{
		{`"kind-of-service":"ring"`, "kind-of-service"},
		{`"limits":{"streams-per-conn":100}`, "limits: streams-per-conn"},
		{`"limits":{"streams-per-conn":-1}`, "limits: streams-per-conn"},
		{`"limits":{"may-tell":true}`, "limits: may-tell"},
		{`"clients":{"marks-retry":true}`, "clients: marks-retry"},
		{`"goal":{"whole":-1}`, "goal: whole"},
		{`"goal":{"worst-class":-0.1}`, "goal: worst-class"},
		{`"balancers":-1`, "balancers"},
		{`"me":-1`, "me"},
		{mesh + `,"limits":{"streams-per-conn":1}`, "limits: streams-per-conn"},
		{mesh + `,"limits":{"probing":true}`, "limits: probing"},
		{mesh + `,"report":{"how":"inline"}`, "report: how"},
		{mesh + `,"stage":1`, "stage"},
		{mesh + `,"tiers":["a","b"]`, "tiers"},
		{mesh + `,"zones":["a","b"]`, "zones"},
		{mesh + `,"me":3`, "me"},
		{`"kind-of-service":"mesh"`, "balancers"},
	} {
		var o Object
		if err := json.Unmarshal([]byte("{"+c.text+"}"), &o); err != nil {
			t.Fatal(err)
		}
		if err := o.Check(); err == nil || !strings.HasPrefix(err.Error(), c.key+":") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s named", c.text, err, c.key)
		}
	}
}

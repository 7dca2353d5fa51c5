package host

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const setup = `{"az":"z1","zones":["z1","z2"],"unheard-of":[1],"discovery":"pushed","stage":0,` +
	`"classes":[{"name":"get","aim-ms":500,"give-up-ms":1000,"group":"all","idempotency":"free","worth":1},` +
	`{"name":"pay","aim-ms":500,"give-up-ms":1000,"idempotency":"single_shot","worth":0}],` +
	`"limits":{"max-attempts":3,"retry-after":true,"max-retry-after-ms":50},` +
	`"rules":{"ask-within-ms":10000,"cold-from":0.1,"warm-within-ms":10000}}`

func batch(time float64, serial int, events ...string) string {
	return fmt.Sprintf(`{"type":"batch","time-ms":%g,"serial":%d}`+"\n", time, serial) +
		strings.Join(append(events, `{"type":"flush"}`), "\n") + "\n"
}

func enlist(i int) string {
	return fmt.Sprintf(`{"type":"enlist","i":%d,"init-seed":7,"setup":%s}`, i, setup)
}

func pool(ref int, backends ...string) string {
	var lines []string
	for _, b := range backends {
		lines = append(lines, fmt.Sprintf(`{"backend":%q,"dc":"z1","health":"up","units":1}`, b))
	}
	return fmt.Sprintf(`{"type":"pool","ref":%d,"elements":[%s]}`, ref, strings.Join(lines, ","))
}

func list(i, ref int) string {
	return fmt.Sprintf(`{"type":"backends-changed","i":%d,"kind":"SAVED","seq-no":1,"ref":%d}`, i, ref)
}

func job(i int, txn, class string) string {
	return fmt.Sprintf(`{"type":"job-in","i":%d,"txn":%q,"kind":%q,"budget-ms":1000}`, i, txn, class)
}

func TestExchange(t *testing.T) {
	in := batch(0, 1) +
		// Pool 0 is defined twice within the batch, with a different list for each instance.
		batch(5, 2, enlist(1), pool(0, "a:1"), list(1, 0), enlist(2), pool(0, "b:1"), list(2, 0)) +
		batch(10, 3, job(1, "r1", "get"), job(2, "r2", "pay")) +
		batch(20, 4,
			`{"type":"resolved","i":1,"txn":"r1","shot":0,"backend":"a:1","code":1,"latency-ms":9,"terminal":true}`,
			`{"type":"resolved","i":2,"txn":"r2","shot":0,"backend":"b:1","code":2,"latency-ms":9}`,
			`{"type":"status-back","i":1,"backend":"a:1","code":1}`,
			`{"type":"neighbour-says","i":1,"src":2,"contents":""}`,
			`{"type":"lapsed","i":2,"txn":"r2"}`)
	var out bytes.Buffer
	if err := Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	want := `{"type":"ok","serial":1}
{"type":"ok","serial":2}
{"type":"pass-on","i":1,"txn":"r1","backend":"a:1","allow-for-ms":350}
{"type":"pass-on","i":2,"txn":"r2","backend":"b:1","allow-for-ms":980}
{"type":"ok","serial":3}
{"type":"fail","i":2,"txn":"r2"}
{"type":"ok","serial":4}
`
	if out.String() != want {
		t.Errorf("wrote\n%s\nwant\n%s", out.String(), want)
	}
}

func TestEmptyListAndRestart(t *testing.T) {
	in := batch(0, 1, enlist(1), pool(3), list(1, 3), job(1, "r1", "get")) +
		batch(5, 2, `{"type":"retire","i":1}`, enlist(1), pool(3, "a:1"), list(1, 3), job(1, "r2", "get"))
	var out bytes.Buffer
	if err := Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`{"type":"reject","i":1,"txn":"r1"`, `"txn":"r2","backend":"a:1"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in\n%s", want, out.String())
		}
	}
}

func TestMalformed(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"unknown instance", batch(0, 1, job(4, "r", "get")), "unknown instance 4"},
		{"retired instance", batch(0, 1, enlist(1), `{"type":"retire","i":1}`, job(1, "r", "get")), "unknown instance 1"},
		{"unknown class", batch(0, 1, enlist(1), job(1, "r", "put")), `unknown class "put"`},
		{"unknown pool", batch(0, 1, enlist(1), list(1, 5)), "unknown pool 5"},
		{"unknown code", batch(0, 1, enlist(1), `{"type":"resolved","i":1,"txn":"r","code":9}`), "unknown code 9"},
		{"unknown health", batch(0, 1, enlist(1), `{"type":"pool","ref":0,"elements":[{"backend":"a:1","health":"well"}]}`,
			list(1, 0)), `unknown health "well"`},
		{"truncated batch", strings.TrimSuffix(batch(0, 1), `{"type":"flush"}`+"\n"), "input ends inside a batch"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(strings.NewReader(c.in), &out)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
			if out.Len() > 0 {
				t.Errorf("wrote %q after malformed input", out.String())
			}
		})
	}
}

// In a mesh, of simultaneous requests those marked as a client's retry are refused and the
// first attempts are sent. An attempt whose client disconnects is cancelled.
func TestMeshExchange(t *testing.T) {
	setup := `{"type":"enlist","i":1,"init-seed":7,"setup":{"az":"z1","zones":["z1"],"kind-of-service":"mesh","balancers":2,` +
		`"discovery":"pushed","stage":0,"classes":[{"name":"get","aim-ms":500,"give-up-ms":1000,"group":"all",` +
		`"idempotency":"free","worth":1}],"limits":{"max-attempts":3,"cancel":true}}}`
	marked := func(id string, bits int) string {
		return fmt.Sprintf(`{"type":"job-in","i":1,"txn":%q,"kind":"get","budget-ms":1000,"state-bits":%d}`, id, bits)
	}
	in := batch(5, 1, setup, pool(0, "a:1"), list(1, 0)) +
		batch(10, 2, marked("r1", 0), marked("r2", 0), marked("r3", 2), marked("r4", 6)) +
		batch(20, 3, `{"type":"lapsed","i":1,"txn":"r1"}`)
	var out bytes.Buffer
	if err := Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`{"type":"pass-on","i":1,"txn":"r1"`, `{"type":"pass-on","i":1,"txn":"r2"`,
		`{"type":"reject","i":1,"txn":"r3"`, `{"type":"reject","i":1,"txn":"r4"`,
		`{"type":"stop-attempt","i":1,"txn":"r1","shot":0}`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in\n%s", want, out.String())
		}
	}
}

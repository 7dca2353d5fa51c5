package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

const (
	batchStart = `{"type":"batch","time-ms":10.5,"serial":3}` + "\n"
	batchEnd   = `{"type":"flush"}` + "\n"
)

func TestRead(t *testing.T) {
	r := NewReader(strings.NewReader(batchStart +
		`{"type":"job-in","i":0,"txn":"a","kind":"k","budget-ms":240.0,"some-new-field":{"x":[1]}}` + "\n" +
		`{"type":"resolved","i":0,"txn":"a","shot":1,"backend":"h:1","code":4,"latency-ms":1.5,"pressure":[1,2]}` +
		"\n" + batchEnd + batchStart + batchEnd))
	b, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	if b.TimeMs != 10.5 || b.Serial != 3 || len(b.Events) != 2 {
		t.Fatalf("got %+v", b)
	}
	if e := b.Events[0]; *e.RequestID != "a" || *e.Kind != "k" || *e.BudgetMs != 240 || *e.Instance != 0 {
		t.Errorf("job-in read as %+v", e)
	}
	if e := b.Events[1]; e.Attempt != 1 || *e.Code != 4 || e.LatencyMs != 1.5 || e.Terminal {
		t.Errorf("resolved read as %+v", e)
	}
	if b, err := r.Read(); err != nil || len(b.Events) != 0 {
		t.Errorf("empty batch: %v, %v", b, err)
	}
	if _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last batch: got %v, want io.EOF", err)
	}
}

func TestLongLine(t *testing.T) {
	id := strings.Repeat("x", 1<<18)
	r := NewReader(strings.NewReader(batchStart + `{"type":"lapsed","i":1,"txn":"` + id + `"}` + "\n" + batchEnd))
	b, err := r.Read()
	if err != nil || *b.Events[0].RequestID != id {
		t.Fatalf("line longer than the buffer: %v", err)
	}
}

func TestMalformed(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"not JSON", batchStart + "hello\n" + batchEnd, "line 2: invalid character"},
		{"wrong type", batchStart + `{"type":"lapsed","i":"one","txn":"a"}` + "\n", "line 2: json"},
		{"unknown message", batchStart + `{"type":"surprise","i":1}` + "\n", `unknown message type "surprise"`},
		{"no type", batchStart + `{"i":1}` + "\n", "message without a type"},
		{"missing instance", batchStart + `{"type":"lapsed","txn":"a"}` + "\n", "lapsed without i"},
		{"missing request id", batchStart + `{"type":"job-in","i":1,"kind":"k","budget-ms":1}` + "\n", "job-in without txn"},
		{"no budget", batchStart + `{"type":"job-in","i":1,"txn":"a","kind":"k"}` + "\n", "job-in without budget-ms"},
		{"no code", batchStart + `{"type":"resolved","i":1,"txn":"a"}` + "\n", "resolved without code"},
		{"no token", batchStart + `{"type":"elapsed","i":1}` + "\n", "elapsed without nonce"},
		{"no settings", batchStart + `{"type":"enlist","i":1,"init-seed":1}` + "\n", "enlist without setup"},
		{"missing time", `{"type":"batch","serial":1}` + "\n", "batch without time-ms"},
		{"event outside a batch", `{"type":"lapsed","i":1,"txn":"a"}` + "\n", "outside a batch"},
		{"batch in a batch", batchStart + batchStart, "batch inside a batch"},
		{"truncated batch", batchStart + `{"type":"lapsed","i":1,"txn":"a"}` + "\n", "input ends inside a batch"},
		{"truncated line", batchStart + `{"type":"lap`, "line 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(c.in)).Read()
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

func TestWrite(t *testing.T) {
	var out bytes.Buffer
	token := uint64(0)
	err := NewWriter(&out).Write(9, []Action{
		{Type: "pass-on", Instance: 0, RequestID: "a", Backend: "h:1", TimeoutMs: 80},
		{Type: "schedule", Instance: 2, TimerToken: &token, WaitMs: 0.5},
	})
	want := `{"type":"pass-on","i":0,"txn":"a","backend":"h:1","allow-for-ms":80}` + "\n" +
		`{"type":"schedule","i":2,"nonce":0,"wait-ms":0.5}` + "\n" +
		`{"type":"ok","serial":9}` + "\n"
	if err != nil || out.String() != want {
		t.Errorf("wrote %q, %v; want %q", out.String(), err, want)
	}
}

// FuzzRead checks that no input makes the reader panic or read without end.
func FuzzRead(f *testing.F) {
	f.Add([]byte(batchStart + batchEnd))
	f.Add([]byte(batchStart + `{"type":"pool","ref":1,"elements":[{"backend":"h:1","units":null}]}` + "\n" + batchEnd))
	f.Add([]byte(batchStart + `{"type":"enlist","i":1,"init-seed":1,"setup":{"classes":[{}]}}` + "\n" + batchEnd))
	f.Add([]byte("\n\n{}"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for range len(in) + 1 {
			if _, err := r.Read(); err != nil {
				return
			}
		}
		t.Error("more batches than bytes")
	})
}

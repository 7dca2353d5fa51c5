package discovery_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/pacing"
	"oxbowloft/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestParseList(t *testing.T) {
	good := standin.TargetJSON("s-1", "127.0.0.1:80")
	for _, c := range []struct{ name, line, want string }{
		{"complete list", standin.ListJSON(1, true, good), ""},
		{"nothing changed", standin.ListJSON(1, false), ""},
		{"unknown field", `{"rev":1,"all":true,"targets":[],"more":{"x":1}}`, ""},
		{"terminated, without an endpoint", standin.ListJSON(1, false, standin.TargetJSONInState("terminated", "s-1", "")), ""},
		{"not JSON", `<html>`, "invalid character"},
		{"truncated", `{"rev":1,"all":true`, "unexpected end"},
		{"another type", `[1,2]`, "cannot unmarshal"},
		{"no rev", `{"all":true,"targets":[]}`, "no rev"},
		{"no targets", `{"rev":1,"all":true}`, "no targets"},
		{"no uid", standin.ListJSON(1, true, good, standin.TargetJSON("", "127.0.0.1:80")), "target 1: no uid"},
		{"bad endpoint", standin.ListJSON(1, true, standin.TargetJSON("s-1", "nowhere")), "target 0: endpoint"},
		{"unknown state", standin.ListJSON(1, true, standin.TargetJSONInState("odd", "s-1", "127.0.0.1:80")), `unknown state "odd"`},
	} {
		_, err := discovery.ParseList([]byte(c.line))
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

// manualPacer never makes a call due: tests request each with CallNow.
type manualPacer struct{}

func (manualPacer) FirstWait() time.Duration                 { return time.Hour }
func (manualPacer) Succeeded()                               {}
func (manualPacer) SourceChanged()                           {}
func (manualPacer) Failed(time.Duration, bool) time.Duration { return time.Hour }

// startClient runs a client and returns its lists and failures.
func startClient(t *testing.T, addr string, rev int64) (c *discovery.Client, lists chan *discovery.List, failed chan discovery.Failure) {
	c = discovery.New(addr, rev, manualPacer{})
	lists, failed = make(chan *discovery.List, 100), make(chan discovery.Failure, 100)
	c.OnList = func(l *discovery.List) { lists <- l }
	c.OnEnd = func(end discovery.CallEnd) { failed <- end.Reason }
	c.OnFreshness = func(f discovery.Freshness) {
		if f.UntilIfServing.Before(f.Until) || f.UntilIfServing.After(time.Now().Add(discovery.MaxAnnounceDelay)) {
			t.Errorf("fresh until %v, %v ahead, and until %v for backends that serve", f.Until, time.Until(f.Until), f.UntilIfServing)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return c, lists, failed
}

func receive[T any](t *testing.T, what string, ch chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(20 * time.Second):
		t.Fatalf("not within 20 s: %s", what)
	}
	return v
}

func TestWatchAndResume(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		d := standin.NewDiscovery(t, standin.ListJSON(7, true, standin.TargetJSON("s-1", "127.0.0.1:80")))
		c, lists, failed := startClient(t, d.Addr(), 5)
		c.CallNow()
		if l := receive(t, "the first list", lists); l.Rev != 7 || !l.Complete || l.Targets[0].UID != "s-1" {
			t.Errorf("got %+v", l)
		}
		d.PushLine("") // a heartbeat is no list
		c.CallNow()    // has no effect while a watch is open
		d.PushLine(standin.ListJSON(9, false, standin.TargetJSONInState("terminating", "s-1", "127.0.0.1:80")))
		if l := receive(t, "a change", lists); l.Rev != 9 || l.Complete || l.Targets[0].State != discovery.Terminating {
			t.Errorf("got %+v", l)
		}
		d.AbortWatches()
		receive(t, "the end of the watch", failed)
		d.SetFirstLine(standin.ListJSON(9, false))
		c.CallNow()
		receive(t, "the list of the second watch", lists)
		want := []string{"/v1/servers?stream=1&index=5", "/v1/servers?stream=1&index=9"}
		if got := d.RequestURIs(); !slices.Equal(got, want) {
			t.Errorf("requests %q, want %q", got, want)
		}
	})
}

func TestFailures(t *testing.T) {
	d := standin.NewDiscovery(t, standin.ListJSON(1, true))
	d.SetDown(true)
	c, lists, failed := startClient(t, d.Addr(), 1)
	c.CallNow()
	if reason := receive(t, "the failure of a call", failed); reason != discovery.Rejected {
		t.Errorf("rejected call: %v", reason)
	}
	d.SetDown(false)
	c.CallNow()
	receive(t, "the list", lists)

	// A malformed list ends the watch, which is resumed from the last good list.
	d.PushLine(standin.ListJSON(2, false))
	receive(t, "a change", lists)
	d.PushLine(`{"rev":3,"all":false,"targets":[{"uid":"s-9","state":"odd"}]}`)
	if reason := receive(t, "the end of the watch", failed); reason != discovery.WatchEnded {
		t.Errorf("malformed list: %v", reason)
	}
	d.SetFirstLine(standin.ListJSON(2, true))
	c.CallNow()
	receive(t, "the list again", lists)
	if got := d.RequestURIs(); got[len(got)-1] != "/v1/servers?stream=1&index=2" {
		t.Errorf("requests %q", got)
	}
}

func TestConnectionRefused(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	b.Stop()
	c, _, failed := startClient(t, b.Addr(), 0)
	c.CallNow()
	if reason := receive(t, "the failure of a call", failed); reason != discovery.Unreachable {
		t.Errorf("no listener: %v", reason)
	}
}

// A list may come in any JSON layout: a watch must not end at a list that is not on a line of its
// own.
func TestListLayouts(t *testing.T) {
	one := standin.ListJSON(2, false, standin.TargetJSONInState("terminating", "s-1", "127.0.0.1:80"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(one), "", "  "); err != nil {
		t.Fatal(err)
	}
	two := standin.ListJSON(3, false)
	for _, c := range []struct {
		name, text string
		revs       []int64
	}{
		{"on a line", one, []int64{2}},
		{"indented", indented.String(), []int64{2}},
		{"indented, with other line ends", strings.ReplaceAll(indented.String(), "\n", "\r\n"), []int64{2}},
		{"two on a line", one + two, []int64{2, 3}},
		{"two indented, with empty lines between", "\n\n" + indented.String() + "\n\n\n" + two, []int64{2, 3}},
		{"one twice", one + "\n" + one, []int64{2, 2}},
	} {
		d := standin.NewDiscovery(t, standin.ListJSON(1, true))
		client, lists, failed := startClient(t, d.Addr(), 0)
		client.CallNow()
		receive(t, "the first list", lists)
		d.PushLine(c.text)
		for _, rev := range c.revs {
			if l := receive(t, c.name, lists); l.Rev != rev || rev == 2 && l.Targets[0].State != discovery.Terminating {
				t.Errorf("%s: got %+v, want rev %d", c.name, l, rev)
			}
		}
		if len(failed) > 0 {
			t.Errorf("%s: the watch ended", c.name)
		}
	}
}

// An older list must not bring back a backend that a newer one has drained, neither on an open
// watch nor as the first list of a new watch, from a lagging replica of discovery. If watches
// keep beginning with older lists, discovery has restarted its revisions and the list is used.
func TestOlderLists(t *testing.T) {
	up := standin.TargetJSON("s-1", "127.0.0.1:80")
	down := standin.TargetJSONInState("terminating", "s-1", "127.0.0.1:80")
	d := standin.NewDiscovery(t, standin.ListJSON(5, true, down))
	c, lists, failed := startClient(t, d.Addr(), 0)
	c.CallNow()
	receive(t, "the first list", lists)
	d.PushLine(standin.ListJSON(4, true, up))
	d.PushLine(standin.ListJSON(4, false, up))
	d.PushLine(standin.ListJSON(6, false))
	if l := receive(t, "the next list", lists); l.Rev != 6 {
		t.Errorf("used %+v", l)
	}
	d.SetFirstLine(standin.ListJSON(4, true, up))
	d.AbortWatches()
	receive(t, "the end of the watch", failed)
	for range 2 {
		c.CallNow()
		receive(t, "the end of a watch that begins with an older list", failed)
	}
	if len(lists) > 0 {
		t.Errorf("used %+v", <-lists)
	}
	c.CallNow()
	if l := receive(t, "the list of restarted revisions", lists); l.Rev != 4 {
		t.Errorf("used %+v", l)
	}
}

// A call without an answer fails as soon as a watch without heartbeats does. A longer wait would
// outlast the staleness bound of the list.
func TestNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // in virtual time
		c, _, failed := startClient(t, "127.0.0.1:80", 0)
		c.Dial = func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go io.Copy(io.Discard, server) // it reads the request and does not answer
			return client, nil
		}
		began := time.Now()
		c.CallNow()
		if reason := receive(t, "the failure of a call", failed); reason != discovery.Unresponsive {
			t.Errorf("no answer: %v", reason)
		}
		if took := time.Since(began); took > discovery.MaxAnnounceDelay/2 {
			t.Errorf("failed after %v", took)
		}
	})
}

// A watch of an unreachable machine, which stays open without heartbeats, must end. A watch that
// merely has nothing to announce must not.
func TestHeartbeats(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	d := standin.NewDiscovery(t, standin.ListJSON(1, true))
	c, lists, failed := startClient(t, d.Addr(), 0)
	c.CallNow()
	receive(t, "the first list", lists)
	// Empty lines are heartbeats: they keep a watch open beyond the heartbeat timeout.
	for range 8 {
		time.Sleep(time.Second)
		d.PushLine("")
	}
	if d.WatchCount() != 1 || len(failed) != 0 {
		t.Error("the watch ended in spite of heartbeats")
	}
	if reason := receive(t, "the end of a watch without heartbeats", failed); reason != discovery.Unresponsive {
		t.Errorf("watch without heartbeats: %v", reason)
	}
}

// Where lists are pushed, the agent is called at once, and again while it has no list.
func TestPushedCallsAgain(t *testing.T) {
	d := standin.NewDiscovery(t, standin.ListJSON(1, true))
	d.SetDown(true)
	c := discovery.New(d.Addr(), 0, pacing.NewForAgent(rand.New(rand.NewPCG(1, 1))))
	lists := make(chan *discovery.List, 10)
	c.OnList, c.OnEnd = func(l *discovery.List) { lists <- l }, func(discovery.CallEnd) {}
	c.OnFreshness = func(discovery.Freshness) {}
	c.SetPushed(time.Second, time.Second)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { defer close(done); c.Run(ctx) }()
	defer func() { stop(); <-done }()
	standin.Eventually(t, 20*time.Second, "two calls", func() bool { return len(d.RequestURIs()) >= 2 })
	// The mean waits start at 0.25 s, with jitter of half: calls must not be more frequent.
	if n := len(d.RequestURIs()); n > 3 {
		t.Errorf("called %d times", n)
	}
	d.SetDown(false)
	receive(t, "the list", lists)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(standin.ListJSON(1, true, standin.TargetJSON("s-1", "127.0.0.1:80"))))
	f.Add([]byte(standin.ListJSON(2, false, standin.TargetJSONInState("terminated", "s-1", ""))))
	f.Add([]byte(`{"rev":-1,"targets":[{}]}`))
	f.Add([]byte(`{"rev":1e99}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		l, err := discovery.ParseList(line)
		if err != nil {
			return
		}
		for _, target := range l.Targets {
			if target.UID == "" || target.State != discovery.Terminated && target.Endpoint == "" {
				t.Fatalf("used %+v", target)
			}
		}
	})
}

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

func TestParse(t *testing.T) {
	good := standin.TargetJSON("s-1", "127.0.0.1:80")
	for _, c := range []struct{ name, line, want string }{
		{"whole list", standin.ListJSON(1, true, good), ""},
		{"nothing changed", standin.ListJSON(1, false), ""},
		{"unknown field", `{"rev":1,"all":true,"targets":[],"more":{"x":1}}`, ""},
		{"gone, without an endpoint", standin.ListJSON(1, false, standin.TargetJSONInState("terminated", "s-1", "")), ""},
		{"no JSON", `<html>`, "invalid character"},
		{"cut off", `{"rev":1,"all":true`, "unexpected end"},
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

// byHand never makes a call: tests ask for each.
type byHand struct{}

func (byHand) FirstWait() time.Duration                 { return time.Hour }
func (byHand) Succeeded()                               {}
func (byHand) SourceChanged()                           {}
func (byHand) Failed(time.Duration, bool) time.Duration { return time.Hour }

// watcher runs a client and hands on what it tells.
func watcher(t *testing.T, addr string, rev int64) (c *discovery.Client, lists chan *discovery.List, failed chan discovery.Failure) {
	c = discovery.New(addr, rev, byHand{})
	lists, failed = make(chan *discovery.List, 100), make(chan discovery.Failure, 100)
	c.OnList = func(l *discovery.List) { lists <- l }
	c.OnEnd = func(end discovery.CallEnd) { failed <- end.Reason }
	c.OnFreshness = func(f discovery.Freshness) {
		if f.UntilIfServing.Before(f.Until) || f.UntilIfServing.After(time.Now().Add(discovery.MaxAnnounceDelay)) {
			t.Errorf("fresh until %v, %v ahead, and %v for what serves", f.Until, time.Until(f.Until), f.UntilIfServing)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return c, lists, failed
}

func within[T any](t *testing.T, what string, ch chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(20 * time.Second):
		t.Fatalf("not in 20 s: %s", what)
	}
	return v
}

func TestWatchAndResume(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		d := standin.NewDiscovery(t, standin.ListJSON(7, true, standin.TargetJSON("s-1", "127.0.0.1:80")))
		c, lists, failed := watcher(t, d.Addr(), 5)
		c.CallNow()
		if l := within(t, "the first list", lists); l.Rev != 7 || !l.Complete || l.Targets[0].UID != "s-1" {
			t.Errorf("got %+v", l)
		}
		d.PushLine("") // a sign of life is no list
		c.CallNow()    // there is a watch: nothing comes of this
		d.PushLine(standin.ListJSON(9, false, standin.TargetJSONInState("terminating", "s-1", "127.0.0.1:80")))
		if l := within(t, "a change", lists); l.Rev != 9 || l.Complete || l.Targets[0].State != discovery.Terminating {
			t.Errorf("got %+v", l)
		}
		d.AbortWatches()
		within(t, "the end of the watch", failed)
		d.SetFirstLine(standin.ListJSON(9, false))
		c.CallNow()
		within(t, "the list of the second watch", lists)
		want := []string{"/v1/servers?stream=1&index=5", "/v1/servers?stream=1&index=9"}
		if got := d.RequestURIs(); !slices.Equal(got, want) {
			t.Errorf("asked %q, want %q", got, want)
		}
	})
}

func TestFailures(t *testing.T) {
	d := standin.NewDiscovery(t, standin.ListJSON(1, true))
	d.SetDown(true)
	c, lists, failed := watcher(t, d.Addr(), 1)
	c.CallNow()
	if why := within(t, "the failure of a call", failed); why != discovery.Rejected {
		t.Errorf("a call that is turned away: %v", why)
	}
	d.SetDown(false)
	c.CallNow()
	within(t, "the list", lists)

	// What can't be read ends the watch; it is resumed after the last good list.
	d.PushLine(standin.ListJSON(2, false))
	within(t, "a change", lists)
	d.PushLine(`{"rev":3,"all":false,"targets":[{"uid":"s-9","state":"odd"}]}`)
	if why := within(t, "the end of the watch", failed); why != discovery.WatchEnded {
		t.Errorf("a list that can't be read: %v", why)
	}
	d.SetFirstLine(standin.ListJSON(2, true))
	c.CallNow()
	within(t, "the list again", lists)
	if got := d.RequestURIs(); got[len(got)-1] != "/v1/servers?stream=1&index=2" {
		t.Errorf("asked %q", got)
	}
}

func TestNobodyThere(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	b.Stop()
	c, _, failed := watcher(t, b.Addr(), 0)
	c.CallNow()
	if why := within(t, "the failure of a call", failed); why != discovery.Unreachable {
		t.Errorf("nobody there: %v", why)
	}
}

// A list may come in any layout that JSON has. Guards against a watch that ends at each
// list that is not on a line of its own.
func TestLayouts(t *testing.T) {
	one := standin.ListJSON(2, false, standin.TargetJSONInState("terminating", "s-1", "127.0.0.1:80"))
	var laid bytes.Buffer
	if err := json.Indent(&laid, []byte(one), "", "  "); err != nil {
		t.Fatal(err)
	}
	two := standin.ListJSON(3, false)
	for _, c := range []struct {
		name, text string
		revs       []int64
	}{
		{"on a line", one, []int64{2}},
		{"indented", laid.String(), []int64{2}},
		{"indented, with other line ends", strings.ReplaceAll(laid.String(), "\n", "\r\n"), []int64{2}},
		{"two on a line", one + two, []int64{2, 3}},
		{"two indented, with empty lines between", "\n\n" + laid.String() + "\n\n\n" + two, []int64{2, 3}},
		{"one twice", one + "\n" + one, []int64{2, 2}},
	} {
		d := standin.NewDiscovery(t, standin.ListJSON(1, true))
		client, lists, failed := watcher(t, d.Addr(), 0)
		client.CallNow()
		within(t, "the first list", lists)
		d.PushLine(c.text)
		for _, rev := range c.revs {
			if l := within(t, c.name, lists); l.Rev != rev || rev == 2 && l.Targets[0].State != discovery.Terminating {
				t.Errorf("%s: got %+v, want rev %d", c.name, l, rev)
			}
		}
		if len(failed) > 0 {
			t.Errorf("%s: the watch ended", c.name)
		}
	}
}

// An older list must not bring back what a newer one has drained: not on a standing watch,
// and not as the first one of a new watch, from a copy of discovery that lags. One that
// stays behind counts anew, and is taken.
func TestOlderLists(t *testing.T) {
	up := standin.TargetJSON("s-1", "127.0.0.1:80")
	down := standin.TargetJSONInState("terminating", "s-1", "127.0.0.1:80")
	d := standin.NewDiscovery(t, standin.ListJSON(5, true, down))
	c, lists, failed := watcher(t, d.Addr(), 0)
	c.CallNow()
	within(t, "the first list", lists)
	d.PushLine(standin.ListJSON(4, true, up))
	d.PushLine(standin.ListJSON(4, false, up))
	d.PushLine(standin.ListJSON(6, false))
	if l := within(t, "the next list", lists); l.Rev != 6 {
		t.Errorf("took %+v", l)
	}
	d.SetFirstLine(standin.ListJSON(4, true, up))
	d.AbortWatches()
	within(t, "the end of the watch", failed)
	for range 2 {
		c.CallNow()
		within(t, "the end of a watch that begins behind", failed)
	}
	if len(lists) > 0 {
		t.Errorf("took %+v", <-lists)
	}
	c.CallNow()
	if l := within(t, "the list of one that counts anew", lists); l.Rev != 4 {
		t.Errorf("took %+v", l)
	}
}

// A call that gets no answer is known to be lost as soon as a watch that gets no sign of
// life: guards against waiting for longer than what is missed may count as untold.
func TestNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // in virtual time
		c, _, failed := watcher(t, "127.0.0.1:80", 0)
		c.Dial = func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go io.Copy(io.Discard, server) // it takes the call in, and says nothing
			return client, nil
		}
		began := time.Now()
		c.CallNow()
		if why := within(t, "the failure of a call", failed); why != discovery.Unresponsive {
			t.Errorf("no answer: %v", why)
		}
		if took := time.Since(began); took > discovery.MaxAnnounceDelay/2 {
			t.Errorf("known to be lost after %v", took)
		}
	})
}

// Guards against a watch that a machine cut off leaves open and silent for ever,
// and against one given up though it only has nothing to tell.
func TestSilence(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	d := standin.NewDiscovery(t, standin.ListJSON(1, true))
	c, lists, failed := watcher(t, d.Addr(), 0)
	c.CallNow()
	within(t, "the first list", lists)
	// Empty lines are signs of life: with them a watch outlives the silence
	// that ends it without them.
	for range 8 {
		time.Sleep(time.Second)
		d.PushLine("")
	}
	if d.WatchCount() != 1 || len(failed) != 0 {
		t.Error("the watch ended in spite of signs of life")
	}
	if why := within(t, "the end of a silent watch", failed); why != discovery.Unresponsive {
		t.Errorf("a silent watch: %v", why)
	}
}

// Where lists are pushed, the agent is asked at once and, while it has none, again and again.
func TestPushedAsksAgain(t *testing.T) {
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
	// Waits of 0.25 s and more, half to one and a half times: not a flood.
	if n := len(d.RequestURIs()); n > 3 {
		t.Errorf("asked %d times", n)
	}
	d.SetDown(false)
	within(t, "the list", lists)
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
				t.Fatalf("took %+v", target)
			}
		}
	})
}

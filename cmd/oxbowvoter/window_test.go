package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/fleet/agree"
	"oxbowloft/fleet/schedule"
	"oxbowloft/fleet/window"
)

// awaitWindow waits until the line of a window contains want, and returns it.
func awaitWindow(t *testing.T, client *agree.Client, id, want string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	last := ""
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if line, err := query(ctx, client, "SHOW "+id); err == nil {
			if last = line; strings.Contains(line, want) {
				return line
			}
		}
	}
	t.Fatalf("%s: %q, not %q", id, last, want)
	return ""
}

// Limits on the capacity under maintenance hold while voters are killed: two windows that
// together would violate the floor are granted one after the other, none is granted twice,
// and a granted one remains granted after a restart of all voters.
func TestFleetWindows(t *testing.T) {
	var addrs, paths []string
	var voters []*voterProcess
	for _, c := range newConfigs(t) {
		path := writeConfig(t, c)
		addrs, paths = append(addrs, c.Listen), append(paths, path)
		voters = append(voters, startVoter(t, path))
	}
	client := newClient(t, addrs...)
	ok := func(e window.Entry) schedule.Answer {
		t.Helper()
		a := propose(t, client, e)
		if a.Result != window.OK && a.Result != window.Duplicate {
			t.Fatal(a.Describe())
		}
		return a
	}
	var put []window.Backend
	for i := range 4 {
		put = append(put, window.Backend{ID: fmt.Sprint("b", i), Region: "r", Zone: "z", Size: 10, SkipWarmUp: true})
	}
	ok(window.PutBackends{Put: put})
	ok(window.SetServing{Members: []string{"n1", "n2"}})
	ok(window.SetFloor{Steps: []window.Step{{Capacity: 30}}}) // of 40, so one backend at a time
	plan := func(id, backend string) window.Request {
		return window.Request{ID: id, Region: "r", Backends: []string{backend}, Duration: time.Hour, LatestEnd: 100 * time.Hour}
	}
	ok(plan("p1", "b0"))
	ok(plan("p2", "b1"))
	if a := ok(plan("p1", "b0")); a.Result != window.Duplicate {
		t.Errorf("retry of the plan: %s", a.Describe())
	}
	first := awaitWindow(t, client, "p1", "fence=")
	fence := ok(plan("p1", "b0")).Window.Fence

	// The first is drained while a voter is killed, then all are killed; its grant and
	// fence stay the same.
	ok(window.Drained{ID: "p1", Fence: fence, Member: "n1"})
	voters[0].signal(t, syscall.SIGKILL)
	voters[0].wait(t)
	ok(window.Drained{ID: "p1", Fence: fence, Member: "n2"})
	awaitWindow(t, client, "p1", "state=out")
	voters[0] = startVoter(t, paths[0])
	for _, v := range voters {
		v.signal(t, syscall.SIGKILL)
	}
	for i, v := range voters {
		v.wait(t)
		voters[i] = startVoter(t, paths[i])
	}
	line := awaitWindow(t, client, "p1", "state=out")
	if again := ok(plan("p1", "b0")).Window.Fence; again != fence {
		t.Errorf("granted with fence %v, then with %v: %s then %s", fence, again, first, line)
	}
	awaitWindow(t, client, "p2", "state=planned")
	if a := propose(t, client, window.Drained{ID: "p1", Fence: fence - 1, Member: "n1"}); a.Result != window.Stale {
		t.Errorf("confirmation with an old fence: %s", a.Describe())
	}

	// The first is returned, then the second is granted.
	ok(window.Return{ID: "p1", Fence: fence})
	ok(window.Returned{ID: "p1", Fence: fence})
	awaitWindow(t, client, "p1", "state=done")
	awaitWindow(t, client, "p2", "fence=")
	if next := ok(plan("p2", "b1")).Window.Fence; next <= fence {
		t.Errorf("fence %v after %v", next, fence)
	}

	// Without a majority nothing is granted.
	for _, v := range voters[:2] {
		v.signal(t, syscall.SIGKILL)
		v.wait(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	entry, _ := window.Encode(plan("p3", "b2"))
	if _, _, err := client.Propose(ctx, entry); err == nil {
		t.Error("one of three voters committed a proposal")
	}
}

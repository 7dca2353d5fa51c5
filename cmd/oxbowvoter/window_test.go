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

// shown waits until a window's line says what is wanted.
func shown(t *testing.T, k *agree.Client, id, want string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	text := ""
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if line, err := read(ctx, k, "SHOW "+id); err == nil {
			if text = line; strings.Contains(line, want) {
				return line
			}
		}
	}
	t.Fatalf("%s: %q, not %q", id, text, want)
	return ""
}

// The capacity that may be out at one time is agreed, whoever of the voters dies: two
// windows that would breach the floor together come one after the other, none is
// granted twice, and one that is out stays counted over a restart of all voters.
func TestFleetWindows(t *testing.T) {
	var addrs, paths []string
	var voters []*process
	for _, c := range configs(t) {
		path := write(t, c)
		addrs, paths = append(addrs, c.Listen), append(paths, path)
		voters = append(voters, start(t, path))
	}
	k := client(t, addrs...)
	ok := func(e window.Entry) schedule.Answer {
		t.Helper()
		a := ask(t, k, e)
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
	ok(window.SetFloor{Steps: []window.Step{{Capacity: 30}}}) // of 40: one at a time
	plan := func(id, backend string) window.Request {
		return window.Request{ID: id, Region: "r", Backends: []string{backend}, Duration: time.Hour, LatestEnd: 100 * time.Hour}
	}
	ok(plan("p1", "b0"))
	ok(plan("p2", "b1"))
	if a := ok(plan("p1", "b0")); a.Result != window.Duplicate {
		t.Errorf("the same plan again: %s", a.Describe())
	}
	first := shown(t, k, "p1", "fence=")
	fence := ok(plan("p1", "b0")).Window.Fence

	// The first is drained while a voter dies, then all die; it stays granted, once.
	ok(window.Drained{ID: "p1", Fence: fence, Member: "n1"})
	voters[0].signal(t, syscall.SIGKILL)
	voters[0].wait(t)
	ok(window.Drained{ID: "p1", Fence: fence, Member: "n2"})
	shown(t, k, "p1", "state=out")
	voters[0] = start(t, paths[0])
	for _, v := range voters {
		v.signal(t, syscall.SIGKILL)
	}
	for i, v := range voters {
		v.wait(t)
		voters[i] = start(t, paths[i])
	}
	line := shown(t, k, "p1", "state=out")
	if again := ok(plan("p1", "b0")).Window.Fence; again != fence {
		t.Errorf("granted with %v, then with %v: %s then %s", fence, again, first, line)
	}
	shown(t, k, "p2", "state=planned")
	if a := ask(t, k, window.Drained{ID: "p1", Fence: fence - 1, Member: "n1"}); a.Result != window.Stale {
		t.Errorf("a confirmation with an old fence: %s", a.Describe())
	}

	// It comes back, and the second's turn comes.
	ok(window.Return{ID: "p1", Fence: fence})
	ok(window.Returned{ID: "p1", Fence: fence})
	shown(t, k, "p1", "state=done")
	shown(t, k, "p2", "fence=")
	if next := ok(plan("p2", "b1")).Window.Fence; next <= fence {
		t.Errorf("fence %v after %v", next, fence)
	}

	// Without a majority nothing is granted or read.
	for _, v := range voters[:2] {
		v.signal(t, syscall.SIGKILL)
		v.wait(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	entry, _ := window.Encode(plan("p3", "b2"))
	if _, _, err := k.Ask(ctx, entry); err == nil {
		t.Error("one of three voters has agreed with itself")
	}
}

package proxy

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func openTestState(t *testing.T, dir string) *sharedState {
	t.Helper()
	s, err := openSharedState(dir, "127.0.0.1:3000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// Two processes know of each other while both run. A lock is released with its holder,
// and proxies on other addresses do not count.
func TestProcessCount(t *testing.T) {
	dir := t.TempDir()
	a := openTestState(t, dir)
	if n := a.processCount(); n != 1 {
		t.Errorf("%d processes alone", n)
	}
	b := openTestState(t, dir)
	otherProxy, err := openSharedState(dir, "127.0.0.1:3001")
	if err != nil {
		t.Fatal(err)
	}
	defer otherProxy.close()
	if a.processCount() != 2 || b.processCount() != 2 || otherProxy.processCount() != 1 {
		t.Errorf("%d, %d, %d processes", a.processCount(), b.processCount(), otherProxy.processCount())
	}
	a.lockFile.Close()
	if n := b.processCount(); n != 1 {
		t.Errorf("%d processes after the end of the other", n)
	}
	c := openTestState(t, dir)
	if c.processCount() != 2 || b.processCount() != 2 {
		t.Error("a second replacement is not counted")
	}
}

// A detachment made by one process applies in all and in those that start later, and so
// does its end.
func TestDetachmentsAreShared(t *testing.T) {
	dir := t.TempDir()
	a, b := openTestState(t, dir), openTestState(t, dir)
	change := func(s *sharedState, id string, detach bool) {
		t.Helper()
		if err := s.setDetached(id, detach); err != nil {
			t.Fatal(err)
		}
	}
	want := func(s *sharedState, name string, ids ...string) {
		t.Helper()
		wanted := map[string]bool{}
		for _, id := range ids {
			wanted[id] = true
		}
		if got := s.current(); !maps.Equal(got, wanted) {
			t.Errorf("%s has %v detached, want %v", name, got, wanted)
		}
	}
	const odd = "s-2 \"\n"
	change(a, "s-1", true)
	change(b, odd, true) // before b has read the change of a
	want(a, "a", "s-1", odd)
	want(a, "a, again,", "s-1", odd)
	want(b, "b", "s-1", odd)
	change(b, "s-1", false)
	want(a, "a", odd)
	want(b, "b", odd)
	want(openTestState(t, dir), "a new process", odd)
}

// Corrupt files, or files left by another process, are logged in one line, known
// detachments stay, and the next change replaces the file.
func TestCorruptState(t *testing.T) {
	for _, text := range []string{"", "{", `{"s-1":true}`, "null", `["s-1",2]`, "\x00\xff",
		`["` + strings.Repeat("x", maxDetachedFileBytes) + `"]`, fmt.Sprintf("[%s]", strings.Repeat(`"a",`, 2*maxDetached)+`"a"`)} {
		dir := t.TempDir()
		s := openTestState(t, dir)
		if err := s.setDetached("s-9", true); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.detachedPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := s.current(); !maps.Equal(got, map[string]bool{"s-9": true}) {
			t.Errorf("%.20q: reads %v as detached", text, got)
		}
		if got := openTestState(t, dir).current(); len(got) > 0 {
			t.Errorf("%.20q: starts with %v detached", text, got)
		}
		if err := s.setDetached("s-8", true); err != nil {
			t.Fatal(err)
		}
		if got := openTestState(t, dir).current(); !maps.Equal(got, map[string]bool{"s-8": true, "s-9": true}) {
			t.Errorf("%.20q: after a change a new process starts with %v", text, got)
		}
	}
}

// Without a directory, or with one that can't be written to, detachments apply in this
// process alone.
func TestNoSharedState(t *testing.T) {
	s, err := openSharedState("", "127.0.0.1:3000")
	if err != nil || s.processCount() != 1 || s.setDetached("s-1", true) != nil || !s.detached["s-1"] {
		t.Errorf("without a directory: %v, %v", err, s.detached)
	}
	s, err = openSharedState(filepath.Join(t.TempDir(), "missing"), "127.0.0.1:3000")
	if err == nil || s.processCount() != 1 || s.setDetached("s-1", true) != nil || !s.detached["s-1"] {
		t.Errorf("in a missing directory: %v, %v", err, s.detached)
	}
	dir := t.TempDir()
	s = openTestState(t, dir)
	if err := s.setDetached("s-1", true); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := s.setDetached("s-2", true); err == nil {
		t.Error("no error for a detachment that was not written")
	}
	if got := s.current(); !maps.Equal(got, map[string]bool{"s-1": true, "s-2": true}) {
		t.Errorf("detachments are lost with their directory: %v", got)
	}
}

// A process that is suspended during a change of the detachments does not block another
// one's change.
func TestChangeLockIsHeld(t *testing.T) {
	dir := t.TempDir()
	a, b := openTestState(t, dir), openTestState(t, dir)
	if err := a.lockByte(fcntlOFDSetLock, syscall.F_WRLCK, changeLockOffset); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := b.setDetached("s-1", true); err != nil {
		t.Error(err)
	}
	if elapsed := time.Since(start); elapsed > 10*time.Second {
		t.Errorf("took %v", elapsed)
	}
}

package proxy

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// Two processes know of each other as long as both are there; a lock is freed with its
// holder, and another proxy's are no business of theirs.
func TestProcessCount(t *testing.T) {
	dir := t.TempDir()
	a := openTestState(t, dir)
	if n := a.processCount(); n != 1 {
		t.Errorf("%d processes alone", n)
	}
	b := openTestState(t, dir)
	other, err := openSharedState(dir, "127.0.0.1:3001")
	if err != nil {
		t.Fatal(err)
	}
	defer other.close()
	if a.processCount() != 2 || b.processCount() != 2 || other.processCount() != 1 {
		t.Errorf("%d, %d, %d processes", a.processCount(), b.processCount(), other.processCount())
	}
	a.lockFile.Close()
	if n := b.processCount(); n != 1 {
		t.Errorf("%d processes after the other's end", n)
	}
	c := openTestState(t, dir)
	if c.processCount() != 2 || b.processCount() != 2 {
		t.Error("a second replacement is not seen")
	}
}

// Bans made at either process hold in both and in one that starts later, and so does
// their end.
func TestDetachmentsAreShared(t *testing.T) {
	dir := t.TempDir()
	a, b := openTestState(t, dir), openTestState(t, dir)
	change := func(s *sharedState, id string, ban bool) {
		t.Helper()
		if err := s.setDetached(id, ban); err != nil {
			t.Fatal(err)
		}
	}
	change(a, "s-1", true)
	change(b, "s-2 \"\n", true) // before b has followed a
	if out, in := a.refresh(); !slices.Equal(out, []string{"s-2 \"\n"}) || in != nil {
		t.Errorf("a follows with %q out, %q in", out, in)
	}
	if out, in := a.refresh(); out != nil || in != nil {
		t.Errorf("a follows again with %q out, %q in", out, in)
	}
	change(b, "s-1", false)
	if out, in := a.refresh(); out != nil || !slices.Equal(in, []string{"s-1"}) {
		t.Errorf("a follows with %q out, %q in", out, in)
	}
	c := openTestState(t, dir)
	if out, _ := c.refresh(); !slices.Equal(out, []string{"s-2 \"\n"}) {
		t.Errorf("a new process starts with %q", out)
	}
}

// Guards against files that a process left behind, or that something spoilt: they are
// told in one line, the bans that are known hold, and the next change mends them.
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
		if out, in := s.refresh(); out != nil || in != nil {
			t.Errorf("%.20q: follows with %q out, %q in", text, out, in)
		}
		if out, in := openTestState(t, dir).refresh(); out != nil || in != nil {
			t.Errorf("%.20q: starts with %q out, %q in", text, out, in)
		}
		if err := s.setDetached("s-8", true); err != nil {
			t.Fatal(err)
		}
		if out, _ := openTestState(t, dir).refresh(); len(out) != 2 {
			t.Errorf("%.20q: after a change a new process starts with %q", text, out)
		}
	}
}

// Without a directory, or with one that can't be written to, bans hold here alone.
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
		t.Error("nobody is told of a ban that was not written")
	}
	if out, in := s.refresh(); out != nil || in != nil || !s.detached["s-1"] || !s.detached["s-2"] {
		t.Errorf("bans are lost with their directory: %v", s.detached)
	}
}

// Guards against a process that is stopped while it changes bans: another's change
// does not wait for it.
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

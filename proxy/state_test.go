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

func opened(t *testing.T, dir string) *state {
	t.Helper()
	s, err := openState(dir, "127.0.0.1:3000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// Two processes know of each other as long as both are there; a lock is freed with its
// holder, and another proxy's are no business of theirs.
func TestProcesses(t *testing.T) {
	dir := t.TempDir()
	a := opened(t, dir)
	if n := a.processes(); n != 1 {
		t.Errorf("%d processes alone", n)
	}
	b := opened(t, dir)
	other, err := openState(dir, "127.0.0.1:3001")
	if err != nil {
		t.Fatal(err)
	}
	defer other.close()
	if a.processes() != 2 || b.processes() != 2 || other.processes() != 1 {
		t.Errorf("%d, %d, %d processes", a.processes(), b.processes(), other.processes())
	}
	a.locks.Close()
	if n := b.processes(); n != 1 {
		t.Errorf("%d processes after the other's end", n)
	}
	c := opened(t, dir)
	if c.processes() != 2 || b.processes() != 2 {
		t.Error("a second replacement is not seen")
	}
}

// Bans made at either process hold in both and in one that starts later, and so does
// their end.
func TestBansAreShared(t *testing.T) {
	dir := t.TempDir()
	a, b := opened(t, dir), opened(t, dir)
	change := func(s *state, id string, ban bool) {
		t.Helper()
		if err := s.change(id, ban); err != nil {
			t.Fatal(err)
		}
	}
	change(a, "s-1", true)
	change(b, "s-2 \"\n", true) // before b has followed a
	if out, in := a.follow(); !slices.Equal(out, []string{"s-2 \"\n"}) || in != nil {
		t.Errorf("a follows with %q out, %q in", out, in)
	}
	if out, in := a.follow(); out != nil || in != nil {
		t.Errorf("a follows again with %q out, %q in", out, in)
	}
	change(b, "s-1", false)
	if out, in := a.follow(); out != nil || !slices.Equal(in, []string{"s-1"}) {
		t.Errorf("a follows with %q out, %q in", out, in)
	}
	c := opened(t, dir)
	if out, _ := c.follow(); !slices.Equal(out, []string{"s-2 \"\n"}) {
		t.Errorf("a new process starts with %q", out)
	}
}

// Guards against files that a process left behind, or that something spoilt: they are
// told in one line, the bans that are known hold, and the next change mends them.
func TestSpoiltState(t *testing.T) {
	for _, text := range []string{"", "{", `{"s-1":true}`, "null", `["s-1",2]`, "\x00\xff",
		`["` + strings.Repeat("x", maxBansFile) + `"]`, fmt.Sprintf("[%s]", strings.Repeat(`"a",`, 2*maxBans)+`"a"`)} {
		dir := t.TempDir()
		s := opened(t, dir)
		if err := s.change("s-9", true); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.bansPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, in := s.follow(); out != nil || in != nil {
			t.Errorf("%.20q: follows with %q out, %q in", text, out, in)
		}
		if out, in := opened(t, dir).follow(); out != nil || in != nil {
			t.Errorf("%.20q: starts with %q out, %q in", text, out, in)
		}
		if err := s.change("s-8", true); err != nil {
			t.Fatal(err)
		}
		if out, _ := opened(t, dir).follow(); len(out) != 2 {
			t.Errorf("%.20q: after a change a new process starts with %q", text, out)
		}
	}
}

// Without a directory, or with one that can't be written to, bans hold here alone.
func TestNoState(t *testing.T) {
	s, err := openState("", "127.0.0.1:3000")
	if err != nil || s.processes() != 1 || s.change("s-1", true) != nil || !s.bans["s-1"] {
		t.Errorf("without a directory: %v, %v", err, s.bans)
	}
	s, err = openState(filepath.Join(t.TempDir(), "missing"), "127.0.0.1:3000")
	if err == nil || s.processes() != 1 || s.change("s-1", true) != nil || !s.bans["s-1"] {
		t.Errorf("in a missing directory: %v, %v", err, s.bans)
	}
	dir := t.TempDir()
	s = opened(t, dir)
	if err := s.change("s-1", true); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := s.change("s-2", true); err == nil {
		t.Error("nobody is told of a ban that was not written")
	}
	if out, in := s.follow(); out != nil || in != nil || !s.bans["s-1"] || !s.bans["s-2"] {
		t.Errorf("bans are lost with their directory: %v", s.bans)
	}
}

// Guards against a process that is stopped while it changes bans: another's change
// does not wait for it.
func TestChangeLockIsHeld(t *testing.T) {
	dir := t.TempDir()
	a, b := opened(t, dir), opened(t, dir)
	if err := a.lock(ofdSet, syscall.F_WRLCK, changeLock); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := b.change("s-1", true); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("took %v", took)
	}
}

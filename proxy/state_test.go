package proxy

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
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
		if err := s.change(id, detach); err != nil {
			t.Fatal(err)
		}
	}
	want := func(s *sharedState, name string, ids ...string) {
		t.Helper()
		wanted := map[string]bool{}
		for _, id := range ids {
			wanted[id] = true
		}
		if got := s.current().detached; !maps.Equal(got, wanted) {
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
		if err := s.change("s-9", true); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.files.detachedPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := s.current().detached; !maps.Equal(got, map[string]bool{"s-9": true}) {
			t.Errorf("%.20q: reads %v as detached", text, got)
		}
		if got := openTestState(t, dir).current().detached; len(got) > 0 {
			t.Errorf("%.20q: starts with %v detached", text, got)
		}
		if err := s.change("s-8", true); err != nil {
			t.Fatal(err)
		}
		if got := openTestState(t, dir).current().detached; !maps.Equal(got, map[string]bool{"s-8": true, "s-9": true}) {
			t.Errorf("%.20q: after a change a new process starts with %v", text, got)
		}
	}
}

// Without a directory, detachments apply in this process alone, and so they do as long as the
// directory can't be used, which a call is told. They are written once it can.
func TestNoSharedState(t *testing.T) {
	s, err := openSharedState("", "127.0.0.1:3000")
	if err != nil || s.processCount() != 1 || s.change("s-1", true) != nil || !s.current().detached["s-1"] {
		t.Errorf("without a directory: %v, %v", err, s.current())
	}
	missing := filepath.Join(t.TempDir(), "missing")
	s, err = openSharedState(missing, "127.0.0.1:3000")
	defer s.close()
	if err == nil || s.processCount() != 1 || s.change("s-1", true) == nil || !s.current().detached["s-1"] {
		t.Errorf("in a missing directory: %v, %v", err, s.current())
	}
	if err := os.Mkdir(missing, 0o700); err != nil {
		t.Fatal(err)
	}
	s.awaitWritten(t)
	if !openTestState(t, missing).current().detached["s-1"] || openTestState(t, missing).processCount() < 2 {
		t.Error("a process that starts once there is a directory knows nothing of this one")
	}
	dir := t.TempDir()
	s = openTestState(t, dir)
	if err := s.change("s-1", true); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := s.change("s-2", true); err == nil {
		t.Error("no error for a detachment that was not written")
	}
	if got := s.current().detached; !maps.Equal(got, map[string]bool{"s-1": true, "s-2": true}) {
		t.Errorf("detachments are lost with their directory: %v", got)
	}
}

// Guards against an OK that does not bind: while another process holds the lock, for instance
// suspended in the middle of a write, a change is not written. Its caller is told so in time, it
// applies here, and it is written once the lock is free. It used to be written without the lock,
// and the other process's write then undid it.
func TestChangeLockIsHeld(t *testing.T) {
	dir := t.TempDir()
	a, b := openTestState(t, dir), openTestState(t, dir)
	suspended, resume, done := make(chan bool), make(chan bool), make(chan error)
	go func() {
		done <- a.files.update(0, func(onDisk detachmentState, _ error) detachmentState {
			close(suspended)
			<-resume
			next := onDisk.clone()
			next.apply("s-2", detachmentChange{Detached: true, MadeAt: monotonicNow()})
			return next
		})
	}()
	<-suspended
	start := time.Now()
	if err := b.change("s-1", true); err == nil {
		t.Error("no error for a detachment that was not written")
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("took %v, its caller waits 1 s", elapsed)
	}
	if !b.current().detached["s-1"] {
		t.Error("the change does not apply where it was made")
	}
	close(resume)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	b.awaitWritten(t)
	want := map[string]bool{"s-1": true, "s-2": true}
	for name, s := range map[string]*sharedState{"a": a, "b": b, "a new process": openTestState(t, dir)} {
		if got := s.current().detached; !maps.Equal(got, want) {
			t.Errorf("%s has %v detached, want %v", name, got, want)
		}
	}
}

// Guards against a change that could not be written when it was made and undoes a later one: the
// later call got its OK at another process.
func TestLateWriteUndoesNothing(t *testing.T) {
	for _, detach := range []bool{true, false} {
		dir := t.TempDir()
		a, b := openTestState(t, dir), openTestState(t, dir)
		for _, id := range []string{"s-1", "s-2"} {
			if err := a.change(id, !detach); err != nil {
				t.Fatal(err)
			}
		}
		a.current()
		b.current()
		unlock, err := b.lockChanges(0)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"s-1", "s-2"} { // neither is written
			if err := a.change(id, detach); err == nil {
				t.Fatal("written without the lock")
			}
		}
		unlock()
		if err := b.change("s-1", detach); err != nil { // as an operator who was told of the error would
			t.Fatal(err)
		}
		if err := b.change("s-1", !detach); err != nil {
			t.Fatal(err)
		}
		a.awaitWritten(t)
		want := map[string]bool{"s-1": !detach, "s-2": detach}
		for name, s := range map[string]*sharedState{"a": a, "b": b, "a new process": openTestState(t, dir)} {
			got := s.current().detached
			for id, wanted := range want {
				if got[id] != wanted {
					t.Errorf("late write of detach=%t: %s has %s detached=%t, want %t", detach, name, id, got[id], wanted)
				}
			}
		}
	}
}

// Guards against a backend that is in use between two writes of one change: a process that
// reads then, or is started after the writer was killed there, has each backend as it was or as it
// will be.
func TestChangeKilledBetweenItsWrites(t *testing.T) {
	for _, detach := range []bool{true, false} {
		dir := t.TempDir()
		s := openTestState(t, dir)
		if err := s.change("s-1", !detach); err != nil {
			t.Fatal(err)
		}
		err := s.files.update(0, func(onDisk detachmentState, _ error) detachmentState {
			os.Remove(s.files.changesPath)
			if err := os.Mkdir(s.files.changesPath, 0o700); err != nil { // stops the write of the second file
				t.Fatal(err)
			}
			next := onDisk.clone()
			next.apply("s-1", detachmentChange{Detached: detach, MadeAt: monotonicNow()})
			return next
		})
		if err == nil {
			t.Fatal("no error for a change that was not written completely")
		}
		if got := openTestState(t, dir).current().detached["s-1"]; !got {
			t.Errorf("detach=%t: a new process uses the backend", detach)
		}
	}
}

// A change of before a reboot, whose time is in the future of a clock that began anew, neither
// holds off a later one nor counts as recent; the list of detached backends holds.
func TestChangesOfBeforeAReboot(t *testing.T) {
	dir := t.TempDir()
	s := openTestState(t, dir)
	if err := s.change("s-1", true); err != nil {
		t.Fatal(err)
	}
	future := monotonicNow() + time.Hour
	changes := fmt.Sprintf(`{"s-1":{"detached":true,"made_at_ns":%d},"s-2":{"detached":false,"made_at_ns":%d}}`, future, future)
	if err := os.WriteFile(s.files.changesPath, []byte(changes), 0o600); err != nil {
		t.Fatal(err)
	}
	next := openTestState(t, dir)
	if got := next.current(); !got.detached["s-1"] || len(got.changes) > 0 {
		t.Errorf("starts with %v", got)
	}
	if err := next.change("s-1", false); err != nil || next.current().detached["s-1"] || s.current().detached["s-1"] {
		t.Errorf("the change back: %v, %v, %v", err, next.current(), s.current())
	}
}

// Guards against a process that can't read a file for a moment, for want of a descriptor, and
// writes it anew without the changes of others.
func TestUnreadableFilesAreNotReplaced(t *testing.T) {
	for _, suffix := range []string{".bans", ".changes"} {
		dir := t.TempDir()
		a, b := openTestState(t, dir), openTestState(t, dir)
		if err := a.change("s-1", true); err != nil {
			t.Fatal(err)
		}
		unreadable := true
		b.files.open = func(path string) (*os.File, error) {
			if unreadable && strings.HasSuffix(path, suffix) {
				return nil, &os.PathError{Op: "open", Path: path, Err: syscall.EMFILE}
			}
			return os.Open(path)
		}
		if err := b.change("s-2", true); !errors.Is(err, syscall.EMFILE) {
			t.Errorf("%s can't be read: got %v, want %v", suffix, err, syscall.EMFILE)
		}
		unreadable = false
		b.awaitWritten(t)
		got := openTestState(t, dir).current()
		if !got.detached["s-1"] || !got.detached["s-2"] || !got.changes["s-1"].Detached || !got.changes["s-2"].Detached {
			t.Errorf("%s could not be read: a new process starts with %v", suffix, got)
		}
	}
}

// Files that are removed under a running process are written again, for the process that starts
// next.
func TestRemovedFilesAreWrittenAgain(t *testing.T) {
	dir := t.TempDir()
	s := openTestState(t, dir)
	if err := s.change("s-1", true); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{s.files.detachedPath, s.files.changesPath} {
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	if got := s.current().detached; !got["s-1"] {
		t.Errorf("lost with the files: %v", got)
	}
	s.retry()
	if got := openTestState(t, dir).current(); !got.detached["s-1"] || !got.changes["s-1"].Detached {
		t.Errorf("a new process starts with %v", got)
	}
}

// change makes a change and writes it.
func (d *detachments) change(id string, detach bool) error {
	if err := d.propose(id, detach); err != nil {
		return err
	}
	return d.flush()
}

// awaitWritten retries until no change is left to be written.
func (d *detachments) awaitWritten(t *testing.T) {
	t.Helper()
	standin.Eventually(t, 5*time.Second, "the write of pending changes", func() bool {
		d.retry()
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.pending) == 0
	})
}

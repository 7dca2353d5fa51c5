package proxy

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"oxbowloft/internal/faults"
)

// detachments are the backends that operators have taken out of service. They are kept in two
// files that all processes of a proxy share:
//
//   - the detached backends, a list of ids, which decides which backends are out;
//   - the latest change of each backend, which says when it was made.
//
// A change is written while the change lock is held, and counts as made once both files have it.
// A change that can't be written applies in this process, and is tried again until it is written
// or a later one of another process replaces it. Without files, changes last as long as this
// process.
type detachments struct {
	files *detachmentFiles // nil: this process alone

	writing sync.Mutex // held while changes are written

	mu        sync.Mutex
	known     detachmentState             // as last read, or as changed without files
	pending   map[string]detachmentChange // made here and not written yet, by backend
	filesLost bool                        // the files were there and are gone
	readError string                      // logged already
}

// detachmentChange is an operator's latest change of one backend.
type detachmentChange struct {
	Detached bool `json:"detached"`
	// MadeAt is when it was made, on the clock of monotonicNow.
	MadeAt time.Duration `json:"made_at_ns"`
}

// age returns how long ago the change was made.
func (c detachmentChange) age() time.Duration { return monotonicNow() - c.MadeAt }

// detachmentState is what operators have changed, at any process.
type detachmentState struct {
	detached map[string]bool
	changes  map[string]detachmentChange
}

const (
	// changeLockWait is how long a call waits for the change lock. Its caller waits one
	// second, and a process that is suspended while it holds the lock must not block others.
	changeLockWait = 600 * time.Millisecond
	// writeRetryInterval is the time between attempts to write pending changes. A full disk
	// stays full for a while.
	writeRetryInterval = 500 * time.Millisecond

	maxDetached = 1024
)

var errTooManyDetached = fmt.Errorf("%d backends are out by hand", maxDetached)

func newDetachmentState() detachmentState {
	return detachmentState{detached: map[string]bool{}, changes: map[string]detachmentChange{}}
}

func (s detachmentState) clone() detachmentState {
	return detachmentState{detached: maps.Clone(s.detached), changes: maps.Clone(s.changes)}
}

// apply makes a change. Attaching a backend that is not detached changes nothing.
func (s detachmentState) apply(id string, c detachmentChange) {
	switch {
	case c.Detached:
		s.detached[id] = true
	case s.detached[id]:
		delete(s.detached, id)
	default:
		return
	}
	s.changes[id] = c
}

// supersedes reports whether the state has a change of the backend that was made after c.
func (s detachmentState) supersedes(id string, c detachmentChange) bool {
	latest, ok := s.changes[id]
	return ok && latest.MadeAt > c.MadeAt
}

// newDetachments returns the detachments in files, or without files those of this process.
func newDetachments(files *detachmentFiles) *detachments {
	return &detachments{files: files, known: newDetachmentState(), pending: map[string]detachmentChange{}}
}

// propose makes a change in this process: current has it from now on. It is to be followed by
// flush.
func (d *detachments) propose(id string, detach bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	change := detachmentChange{Detached: detach, MadeAt: monotonicNow()}
	next := d.withPending(d.known)
	next.apply(id, change)
	if len(next.detached) > maxDetached {
		return errTooManyDetached
	}
	if d.files == nil {
		d.known = next
		return nil
	}
	d.pending[id] = change
	return nil
}

// withPending returns a copy of state with the pending changes that it does not supersede.
func (d *detachments) withPending(state detachmentState) detachmentState {
	state = state.clone()
	for id, c := range d.pending {
		if !state.supersedes(id, c) {
			state.apply(id, c)
		}
	}
	return state
}

// current returns what operators have changed, at any process. What can't be read leaves the
// rest as it is known.
func (d *detachments) current() detachmentState {
	if d.files == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.known.clone()
	}
	state, err := d.files.read()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logReadError(err)
	missing := errors.Is(err, fs.ErrNotExist)
	switch {
	case errors.Is(err, errChangesUnreadable):
		d.known.detached = state.detached
	case err == nil:
		d.known = state
	}
	d.filesLost = missing && len(d.known.detached) > 0
	return d.withPending(d.known)
}

// logReadError logs an error once, however often it occurs. Files that don't exist are none:
// nothing was ever detached, or their directory was cleared.
func (d *detachments) logReadError(err error) {
	text := ""
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		text = err.Error()
	}
	if text != "" && text != d.readError {
		log.Printf("event=bans_unreadable err=%q", err)
	}
	d.readError = text
}

// retry writes pending changes if there are any. It does not wait for the change lock.
func (d *detachments) retry() {
	d.mu.Lock()
	due := len(d.pending) > 0 || d.filesLost
	d.mu.Unlock()
	if !due || !d.writing.TryLock() { // a call is writing
		return
	}
	defer d.writing.Unlock()
	if d.write(0) == nil {
		log.Printf("event=bans_written_late")
	}
}

// flush writes the pending changes. Without an error, every other process has them when it next
// looks, and so has one that starts afterwards.
func (d *detachments) flush() error {
	if d.files == nil {
		return nil
	}
	d.writing.Lock()
	defer d.writing.Unlock()
	return d.write(changeLockWait)
}

// write writes the pending changes, and what is known if the files are lost. The caller holds
// writing, but not mu: writing may take long, and changes of other processes apply meanwhile.
func (d *detachments) write(lockWait time.Duration) error {
	d.mu.Lock()
	pending := maps.Clone(d.pending)
	d.mu.Unlock()
	var written detachmentState
	err := d.files.update(lockWait, func(onDisk detachmentState, readErr error) detachmentState {
		d.mu.Lock()
		defer d.mu.Unlock()
		if readErr != nil {
			onDisk = d.known
		}
		written = d.withPending(onDisk)
		return written.clone()
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = written
	for id, c := range pending {
		if d.pending[id] == c {
			delete(d.pending, id)
		}
	}
	return nil
}

// detachmentFiles are the files of the detachments.
type detachmentFiles struct {
	detachedPath, changesPath string
	lock                      func(wait time.Duration) (unlock func(), err error)
	open                      func(path string) (*os.File, error)

	mu                        sync.Mutex
	detachedText, changesText []byte          // as last parsed
	parsed                    detachmentState // from them
}

const (
	// tempFileSuffix marks a file that is still being written.
	tempFileSuffix = ".new"

	maxDetachedFileBytes = maxDetached * (maxIDBytes*6 + 4) // each byte of an id may be escaped
	// maxChangesFileBytes allows for as many changes as there are detached backends, and as
	// many of backends that were attached again.
	maxChangesFileBytes = 2 * maxDetached * (maxIDBytes*6 + 64)
)

var (
	errDetachmentsMalformed = errors.New("malformed list of detached backends")
	errChangesUnreadable    = errors.New("the times of changes can't be read")
)

// read reads the files. A change that is being written is seen as detached before it is seen as
// attached: write orders the files so. With errChangesUnreadable, the list of detached backends is
// right all the same. The caller must not modify the state.
func (f *detachmentFiles) read() (detachmentState, error) {
	detached, err := f.readFile(f.detachedPath, maxDetachedFileBytes)
	if err != nil {
		return newDetachmentState(), err
	}
	changes, changesErr := f.readFile(f.changesPath, maxChangesFileBytes)
	if changesErr != nil && !errors.Is(changesErr, fs.ErrNotExist) { // an earlier version writes none
		state, err := parseDetachments(detached, nil)
		return state, cmp.Or(err, fmt.Errorf("%w: %w", errChangesUnreadable, changesErr))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parsed.detached != nil && bytes.Equal(detached, f.detachedText) && bytes.Equal(changes, f.changesText) {
		return f.parsed, nil
	}
	state, err := parseDetachments(detached, changes)
	if err != nil {
		return newDetachmentState(), err
	}
	f.detachedText, f.changesText, f.parsed = detached, changes, state
	return state, nil
}

// readFile returns the content of a file, or its first maxBytes.
func (f *detachmentFiles) readFile(path string, maxBytes int64) ([]byte, error) {
	file, err := f.open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxBytes))
}

// parseDetachments returns the state in the texts of both files. Changes that can't be parsed
// are left out.
func parseDetachments(detached, changes []byte) (detachmentState, error) {
	state := newDetachmentState()
	var ids []string
	if err := json.Unmarshal(detached, &ids); err != nil {
		return state, fmt.Errorf("%w: %w", errDetachmentsMalformed, err)
	}
	if ids == nil || len(ids) > maxDetached {
		return state, fmt.Errorf("%w: expected at most %d ids", errDetachmentsMalformed, maxDetached)
	}
	for _, id := range ids {
		state.detached[id] = true
	}
	if err := json.Unmarshal(changes, &state.changes); err != nil || state.changes == nil {
		state.changes = map[string]detachmentChange{}
	}
	now := monotonicNow()
	maps.DeleteFunc(state.changes, func(_ string, c detachmentChange) bool { return c.MadeAt > now }) // of before a reboot
	return state, nil
}

// update reads the files, and writes what change returns for them. The change lock is held
// meanwhile. Files that are missing or malformed are replaced; any that can't be read may have
// changes of other processes, and are left as they are.
func (f *detachmentFiles) update(lockWait time.Duration,
	change func(onDisk detachmentState, readErr error) detachmentState) error {
	unlock, err := f.lock(lockWait)
	if err != nil {
		return err
	}
	defer unlock()
	onDisk, readErr := f.read()
	if readErr != nil && !errors.Is(readErr, fs.ErrNotExist) && !errors.Is(readErr, errDetachmentsMalformed) {
		return readErr
	}
	return f.write(onDisk, readErr, change(onDisk, readErr))
}

// write replaces the files. A process that reads in between, or after this one was killed, finds
// each backend detached that is so before or after the change: one that becomes detached is
// listed first, and one that becomes attached is taken off last.
func (f *detachmentFiles) write(onDisk detachmentState, readErr error, next detachmentState) error {
	if readErr == nil && maps.Equal(next.detached, onDisk.detached) && maps.Equal(next.changes, onDisk.changes) {
		return nil
	}
	either := maps.Clone(next.detached)
	maps.Copy(either, onDisk.detached)
	if readErr != nil || len(either) > len(onDisk.detached) {
		if err := f.writeDetached(either); err != nil {
			return err
		}
	}
	pruneChanges(next)
	if err := writeJSON(f.changesPath, next.changes); err != nil {
		return err
	}
	if len(next.detached) < len(either) {
		return f.writeDetached(next.detached)
	}
	return nil
}

func (f *detachmentFiles) writeDetached(detached map[string]bool) error {
	if len(detached) > maxDetached {
		return errTooManyDetached
	}
	ids := make([]string, 0, len(detached))
	for id := range detached {
		ids = append(ids, id)
	}
	return writeJSON(f.detachedPath, ids)
}

// pruneChanges drops the oldest changes of attached backends beyond maxDetached.
func pruneChanges(s detachmentState) {
	for len(s.changes) > 2*maxDetached {
		oldest := ""
		for id, c := range s.changes {
			if !s.detached[id] && (oldest == "" || c.MadeAt < s.changes[oldest].MadeAt) {
				oldest = id
			}
		}
		delete(s.changes, oldest)
	}
}

// writeJSON replaces a file by renaming a complete new one, so that no reader ever sees a
// partial file.
func writeJSON(path string, content any) error {
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+tempFileSuffix+"*")
	if err != nil {
		return err
	}
	if err = faults.Inject("write"); err == nil {
		_, err = f.Write(text)
	}
	if err == nil {
		err = f.Sync() // on disk before the rename
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

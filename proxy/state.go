package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"oxbowloft/internal/faults"
)

// state is what a process shares with the one that replaces it, in a directory of
// both: who is there, and which backends are out by hand. Who is there is told by
// locks, which the kernel frees with their process, so that nothing left behind by one
// that died does harm. Without a directory there is no other, and bans last as long as
// the process.
type sharedState struct {
	detachedPath string
	lockFile     *os.File
	slot         int64 // of the lock file, locked by this process

	mu        sync.Mutex
	detached  map[string]bool // as this process has them
	lastRead  os.FileInfo     // the bans file when it was last read
	unwritten map[string]bool // changes that are not written yet: they hold here, whatever is read

	lastWriteAttempt time.Time // last try
}

const (
	// mostProcesses may be there at once: the old one, the new one, and others that
	// failed to start and are about to end.
	maxProcesses     = 4
	changeLockOffset = maxProcesses // a byte behind the slots: held while bans are changed

	// The kernel's locks of open files (F_OFD_GETLK and the like), which one process
	// can hold against itself, too.
	fcntlOFDGetLock, fcntlOFDSetLock = 36, 37

	// lockTries and lockPause bound the wait for the change lock: guards against a
	// process that is stopped while it holds it.
	changeLockAttempts      = 20
	changeLockRetryInterval = 10 * time.Millisecond

	// newSuffix ends the name of a file of bans that is being written.
	tempFileSuffix = ".new"
	// writeAgainEvery is how often what could not be written is tried again: a full disk
	// is full for a while.
	writeRetryInterval = 500 * time.Millisecond

	maxDetached          = 1024
	maxDetachedFileBytes = maxDetached * (maxIDBytes*6 + 4) // every byte of an id escaped
)

// openState takes this process's place in dir, for a proxy that listens at listen.
func openSharedState(dir, listen string) (*sharedState, error) {
	s := &sharedState{detached: map[string]bool{}, unwritten: map[string]bool{}, slot: -1}
	if dir == "" {
		return s, nil
	}
	base := filepath.Join(dir, "oxbowloft-"+strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '.' {
			return r
		}
		return '_'
	}, listen))
	f, err := os.OpenFile(base+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return s, fmt.Errorf("state: %w", err)
	}
	s.lockFile, s.detachedPath = f, base+".bans"
	s.removeTempFiles()
	for slot := range int64(maxProcesses) {
		if s.lockByte(fcntlOFDSetLock, syscall.F_WRLCK, slot) == nil {
			s.slot = slot
			return s, nil
		}
	}
	return s, fmt.Errorf("state: %d processes hold %s", maxProcesses, f.Name())
}

// clearHalfWritten removes what a process that was killed in the middle of a write has left
// behind. Who holds the change lock is writing now: then it is left to the next start.
func (s *sharedState) removeTempFiles() {
	if s.lockByte(fcntlOFDSetLock, syscall.F_WRLCK, changeLockOffset) != nil {
		return
	}
	defer s.lockByte(fcntlOFDSetLock, syscall.F_UNLCK, changeLockOffset)
	files, _ := filepath.Glob(escapeGlob(s.detachedPath) + tempFileSuffix + "*")
	for _, name := range files {
		if err := os.Remove(name); err != nil {
			log.Printf("event=bans_not_cleared err=%q", err)
		}
	}
}

// globQuoted is a path as a pattern that it alone matches.
func escapeGlob(path string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(path)
}

// lock applies a lock command to one byte of the lock file.
func (s *sharedState) lockByte(cmd int, lockType int16, offset int64) error {
	return syscall.FcntlFlock(s.lockFile.Fd(), cmd, &syscall.Flock_t{Type: lockType, Start: offset, Len: 1})
}

// processes is how many there are, this one included.
func (s *sharedState) processCount() int {
	n := 1
	if s.lockFile == nil {
		return n
	}
	for slot := range int64(maxProcesses) {
		lock := syscall.Flock_t{Type: syscall.F_WRLCK, Start: slot, Len: 1}
		if slot != s.slot && syscall.FcntlFlock(s.lockFile.Fd(), fcntlOFDGetLock, &lock) == nil && lock.Type != syscall.F_UNLCK {
			n++
		}
	}
	return n
}

// change bans a backend or lifts its ban, for this process and the other, and returns
// once a process that starts now would know. What can't be written holds here alone,
// and the error says why.
func (s *sharedState) setDetached(id string, detach bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockFile == nil {
		s.detached = maps.Clone(s.detached) // readers of the old ones compare
		updateDetachedSet(s.detached, id, detach)
		return nil
	}
	s.unwritten[id] = detach
	return s.writePending()
}

func updateDetachedSet(detached map[string]bool, id string, detach bool) {
	if detach {
		detached[id] = true
	} else {
		delete(detached, id)
	}
}

// writeKept makes the changes that are not written yet, here and in the file. The caller
// holds mu.
func (s *sharedState) writePending() error {
	err := s.lockByte(fcntlOFDSetLock, syscall.F_WRLCK, changeLockOffset)
	for range changeLockAttempts {
		if err == nil {
			break
		}
		time.Sleep(changeLockRetryInterval)
		err = s.lockByte(fcntlOFDSetLock, syscall.F_WRLCK, changeLockOffset)
	}
	if err != nil {
		log.Printf("event=bans_unlocked err=%q", err)
	}
	defer s.lockByte(fcntlOFDSetLock, syscall.F_UNLCK, changeLockOffset)
	s.reloadFile() // what the other process has changed must stay
	s.detached = maps.Clone(s.detached)
	for id, detach := range s.unwritten {
		updateDetachedSet(s.detached, id, detach)
	}
	s.lastWriteAttempt = time.Now()
	if err := s.writeFile(); err != nil {
		return err
	}
	clear(s.unwritten)
	return nil
}

// follow reads the bans again if the file is another. It returns what is banned anew,
// and what no longer is.
func (s *sharedState) refresh() (detached, attached []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockFile == nil {
		return nil, nil
	}
	before := s.detached
	s.reloadFile()
	if len(s.unwritten) > 0 && time.Since(s.lastWriteAttempt) >= writeRetryInterval {
		if err := s.writePending(); err == nil {
			log.Printf("event=bans_written_late")
		}
	}
	for id := range s.detached {
		if !before[id] {
			detached = append(detached, id)
		}
	}
	for id := range before {
		if !s.detached[id] {
			attached = append(attached, id)
		}
	}
	return detached, attached
}

// read makes the bans those of the file, if it is another than was last read. One that
// can't be read is told once, and changes nothing.
func (s *sharedState) reloadFile() {
	info, err := os.Stat(s.detachedPath)
	if errors.Is(err, fs.ErrNotExist) {
		return // nobody has banned anything, or the directory was cleared: bans hold
	}
	if err == nil && s.lastRead != nil && os.SameFile(info, s.lastRead) && info.ModTime().Equal(s.lastRead.ModTime()) &&
		info.Size() == s.lastRead.Size() {
		return
	}
	var detached map[string]bool
	if err == nil {
		s.lastRead = info
		detached, err = readDetachedFile(s.detachedPath)
	}
	if err != nil {
		log.Printf("event=bans_unreadable err=%q", err)
		return
	}
	for id, detach := range s.unwritten {
		updateDetachedSet(detached, id, detach)
	}
	s.detached = detached
}

func readDetachedFile(path string) (map[string]bool, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxDetachedFileBytes+1))
	if err != nil {
		return nil, err
	}
	var ids []string
	if err := json.Unmarshal(text, &ids); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if ids == nil || len(ids) > maxDetached {
		return nil, fmt.Errorf("%s: no list of up to %d ids", path, maxDetached)
	}
	detached := map[string]bool{}
	for _, id := range ids {
		detached[id] = true
	}
	return detached, nil
}

// write puts a new file in the place of the old one, so that none is ever read in part.
func (s *sharedState) writeFile() error {
	ids := make([]string, 0, len(s.detached))
	for id := range s.detached {
		ids = append(ids, id)
	}
	text, err := json.Marshal(ids)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(s.detachedPath), filepath.Base(s.detachedPath)+tempFileSuffix+"*")
	if err != nil {
		return err
	}
	if err = faults.Fail("write"); err == nil {
		_, err = f.Write(text)
	}
	if err == nil {
		err = f.Sync() // on disk before it takes the old one's place
	}
	if err == nil {
		s.lastRead, err = f.Stat()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), s.detachedPath)
	}
	if err != nil {
		s.lastRead = nil
		os.Remove(f.Name())
	}
	return err
}

// count is how many backends are out, as this process has it.
func (s *sharedState) detachedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.detached)
}

func (s *sharedState) close() {
	if s.lockFile != nil {
		s.lockFile.Close()
	}
}

// followEvery is how often a process looks for another and for bans made there: well
// inside the second that a ban may take.
const sharedStatePollInterval = 50 * time.Millisecond

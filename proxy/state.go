package proxy

import (
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sharedState is the state that a process shares, through files in a common directory,
// with the process that replaces it: which processes are running, which backends operators
// have detached, and which requests must not run again. Running processes are recorded as
// file locks, which the kernel releases when their process ends, so a process that dies
// leaves nothing behind that does harm. Without a directory there is no other process.
type sharedState struct {
	*detachments
	base string // of the paths of the files; empty: no directory

	mu       sync.Mutex
	lockFile *os.File // nil: not opened
	slot     int64    // byte of the lock file that this process holds locked
}

const (
	// maxProcesses may run at the same time: the old one, the new one, and others that
	// failed to start and are about to end.
	maxProcesses     = 4
	changeLockOffset = maxProcesses // the byte after the slots; locked while detachments are changed

	// fcntl commands for open file description locks (F_OFD_GETLK, F_OFD_SETLK), which
	// exclude each other also within one process.
	fcntlOFDGetLock, fcntlOFDSetLock = 36, 37

	// changeLockRetryInterval is the time between attempts to get the change lock.
	changeLockRetryInterval = 10 * time.Millisecond
)

// openSharedState registers this process in dir, for a proxy that listens at listen. After an
// error the state is usable, but without knowledge of other processes; what needs the files
// tries to open them again.
func openSharedState(dir, listen string) (*sharedState, error) {
	if dir == "" {
		return &sharedState{detachments: newDetachments(nil)}, nil
	}
	s := &sharedState{base: filepath.Join(dir, "oxbowloft-"+fileNameOf(listen)), slot: -1}
	s.detachments = newDetachments(&detachmentFiles{
		detachedPath: s.base + ".bans",
		changesPath:  s.base + ".changes",
		lock:         s.lockChanges,
		open:         os.Open,
	})
	if err := s.open(); err != nil {
		return s, err
	}
	s.removeTempFiles()
	return s, nil
}

// idsPath returns the path of the file of request ids, or an empty string if there is no directory.
func (s *sharedState) idsPath() string {
	if s.base == "" {
		return ""
	}
	return s.base + ".ids"
}

// fileNameOf returns an address with all but letters, digits and dots replaced.
func fileNameOf(address string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '.' {
			return r
		}
		return '_'
	}, address)
}

// open opens the lock file and takes a slot in it, unless that has been done.
func (s *sharedState) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockFile != nil {
		return nil
	}
	f, err := os.OpenFile(s.base+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.lockFile = f
	for slot := range int64(maxProcesses) {
		if lockByte(f, syscall.F_WRLCK, slot) == nil {
			s.slot = slot
			return nil
		}
	}
	return fmt.Errorf("state: %d processes hold %s", maxProcesses, f.Name())
}

// removeTempFiles removes files left by a process that was killed during a write. A
// process that holds the change lock is writing now; its files are then left to the next
// start.
func (s *sharedState) removeTempFiles() {
	unlock, err := s.lockChanges(0)
	if err != nil {
		return
	}
	defer unlock()
	for _, path := range []string{s.files.detachedPath, s.files.changesPath} {
		files, _ := filepath.Glob(escapeGlob(path) + tempFileSuffix + "*")
		for _, name := range files {
			if err := os.Remove(name); err != nil {
				log.Printf("event=bans_not_cleared err=%q", err)
			}
		}
	}
}

// escapeGlob returns a glob pattern that matches path alone.
func escapeGlob(path string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(path)
}

// lockByte locks or unlocks one byte of the lock file. It does not wait.
func lockByte(f *os.File, lockType int16, offset int64) error {
	return syscall.FcntlFlock(f.Fd(), fcntlOFDSetLock, &syscall.Flock_t{Type: lockType, Start: offset, Len: 1})
}

var errChangeLockHeld = errors.New("another process holds the lock on changes")

// lockChanges takes the change lock, and waits for it up to wait.
func (s *sharedState) lockChanges(wait time.Duration) (unlock func(), err error) {
	if err := s.open(); err != nil && s.openedFile() == nil {
		return nil, err
	}
	f := s.openedFile()
	for end := time.Now().Add(wait); lockByte(f, syscall.F_WRLCK, changeLockOffset) != nil; {
		if time.Now().After(end) {
			return nil, errChangeLockHeld
		}
		time.Sleep(changeLockRetryInterval)
	}
	return func() { lockByte(f, syscall.F_UNLCK, changeLockOffset) }, nil
}

// openedFile returns the lock file, or nil if it could not be opened.
func (s *sharedState) openedFile() *os.File {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lockFile
}

// processCount returns the number of running processes, including this one.
func (s *sharedState) processCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
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

func (s *sharedState) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockFile != nil {
		s.lockFile.Close()
	}
}

// sharedStatePollInterval is how often a process looks for other processes and for
// detachments made by them. A detachment has to take effect within one second.
const sharedStatePollInterval = 50 * time.Millisecond

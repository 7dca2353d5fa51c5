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
type state struct {
	bansPath string
	locks    *os.File
	slot     int64 // of the lock file, locked by this process

	mu   sync.Mutex
	bans map[string]bool // as this process has them
	seen os.FileInfo     // the bans file when it was last read
	kept map[string]bool // changes that are not written yet: they hold here, whatever is read

	written time.Time // last try
}

const (
	// mostProcesses may be there at once: the old one, the new one, and others that
	// failed to start and are about to end.
	mostProcesses = 4
	changeLock    = mostProcesses // a byte behind the slots: held while bans are changed

	// The kernel's locks of open files (F_OFD_GETLK and the like), which one process
	// can hold against itself, too.
	ofdGet, ofdSet = 36, 37

	// lockTries and lockPause bound the wait for the change lock: guards against a
	// process that is stopped while it holds it.
	lockTries = 20
	lockPause = 10 * time.Millisecond

	// newSuffix ends the name of a file of bans that is being written.
	newSuffix = ".new"
	// writeAgainEvery is how often what could not be written is tried again: a full disk
	// is full for a while.
	writeAgainEvery = 500 * time.Millisecond

	maxBans     = 1024
	maxBansFile = maxBans * (maxID*6 + 4) // every byte of an id escaped
)

// openState takes this process's place in dir, for a proxy that listens at listen.
func openState(dir, listen string) (*state, error) {
	s := &state{bans: map[string]bool{}, kept: map[string]bool{}, slot: -1}
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
	s.locks, s.bansPath = f, base+".bans"
	s.clearHalfWritten()
	for slot := range int64(mostProcesses) {
		if s.lock(ofdSet, syscall.F_WRLCK, slot) == nil {
			s.slot = slot
			return s, nil
		}
	}
	return s, fmt.Errorf("state: %d processes hold %s", mostProcesses, f.Name())
}

// clearHalfWritten removes what a process that was killed in the middle of a write has left
// behind. Who holds the change lock is writing now: then it is left to the next start.
func (s *state) clearHalfWritten() {
	if s.lock(ofdSet, syscall.F_WRLCK, changeLock) != nil {
		return
	}
	defer s.lock(ofdSet, syscall.F_UNLCK, changeLock)
	left, _ := filepath.Glob(globQuoted(s.bansPath) + newSuffix + "*")
	for _, name := range left {
		if err := os.Remove(name); err != nil {
			log.Printf("event=bans_not_cleared err=%q", err)
		}
	}
}

// globQuoted is a path as a pattern that it alone matches.
func globQuoted(path string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(path)
}

// lock applies a lock command to one byte of the lock file.
func (s *state) lock(cmd int, kind int16, at int64) error {
	return syscall.FcntlFlock(s.locks.Fd(), cmd, &syscall.Flock_t{Type: kind, Start: at, Len: 1})
}

// processes is how many there are, this one included.
func (s *state) processes() int {
	n := 1
	if s.locks == nil {
		return n
	}
	for slot := range int64(mostProcesses) {
		at := syscall.Flock_t{Type: syscall.F_WRLCK, Start: slot, Len: 1}
		if slot != s.slot && syscall.FcntlFlock(s.locks.Fd(), ofdGet, &at) == nil && at.Type != syscall.F_UNLCK {
			n++
		}
	}
	return n
}

// change bans a backend or lifts its ban, for this process and the other, and returns
// once a process that starts now would know. What can't be written holds here alone,
// and the error says why.
func (s *state) change(id string, ban bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks == nil {
		s.bans = maps.Clone(s.bans) // readers of the old ones compare
		setBan(s.bans, id, ban)
		return nil
	}
	s.kept[id] = ban
	return s.writeKept()
}

func setBan(bans map[string]bool, id string, ban bool) {
	if ban {
		bans[id] = true
	} else {
		delete(bans, id)
	}
}

// writeKept makes the changes that are not written yet, here and in the file. The caller
// holds mu.
func (s *state) writeKept() error {
	err := s.lock(ofdSet, syscall.F_WRLCK, changeLock)
	for range lockTries {
		if err == nil {
			break
		}
		time.Sleep(lockPause)
		err = s.lock(ofdSet, syscall.F_WRLCK, changeLock)
	}
	if err != nil {
		log.Printf("event=bans_unlocked err=%q", err)
	}
	defer s.lock(ofdSet, syscall.F_UNLCK, changeLock)
	s.read() // what the other process has changed must stay
	s.bans = maps.Clone(s.bans)
	for id, ban := range s.kept {
		setBan(s.bans, id, ban)
	}
	s.written = time.Now()
	if err := s.write(); err != nil {
		return err
	}
	clear(s.kept)
	return nil
}

// follow reads the bans again if the file is another. It returns what is banned anew,
// and what no longer is.
func (s *state) follow() (out, in []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks == nil {
		return nil, nil
	}
	before := s.bans
	s.read()
	if len(s.kept) > 0 && time.Since(s.written) >= writeAgainEvery {
		if err := s.writeKept(); err == nil {
			log.Printf("event=bans_written_late")
		}
	}
	for id := range s.bans {
		if !before[id] {
			out = append(out, id)
		}
	}
	for id := range before {
		if !s.bans[id] {
			in = append(in, id)
		}
	}
	return out, in
}

// read makes the bans those of the file, if it is another than was last read. One that
// can't be read is told once, and changes nothing.
func (s *state) read() {
	info, err := os.Stat(s.bansPath)
	if errors.Is(err, fs.ErrNotExist) {
		return // nobody has banned anything, or the directory was cleared: bans hold
	}
	if err == nil && s.seen != nil && os.SameFile(info, s.seen) && info.ModTime().Equal(s.seen.ModTime()) &&
		info.Size() == s.seen.Size() {
		return
	}
	var bans map[string]bool
	if err == nil {
		s.seen = info
		bans, err = readBans(s.bansPath)
	}
	if err != nil {
		log.Printf("event=bans_unreadable err=%q", err)
		return
	}
	for id, ban := range s.kept {
		setBan(bans, id, ban)
	}
	s.bans = bans
}

func readBans(path string) (map[string]bool, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxBansFile+1))
	if err != nil {
		return nil, err
	}
	var ids []string
	if err := json.Unmarshal(text, &ids); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if ids == nil || len(ids) > maxBans {
		return nil, fmt.Errorf("%s: no list of up to %d ids", path, maxBans)
	}
	bans := map[string]bool{}
	for _, id := range ids {
		bans[id] = true
	}
	return bans, nil
}

// write puts a new file in the place of the old one, so that none is ever read in part.
func (s *state) write() error {
	ids := make([]string, 0, len(s.bans))
	for id := range s.bans {
		ids = append(ids, id)
	}
	text, err := json.Marshal(ids)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(s.bansPath), filepath.Base(s.bansPath)+newSuffix+"*")
	if err != nil {
		return err
	}
	if err = faults.Inject("write"); err == nil {
		_, err = f.Write(text)
	}
	if err == nil {
		err = f.Sync() // on disk before it takes the old one's place
	}
	if err == nil {
		s.seen, err = f.Stat()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), s.bansPath)
	}
	if err != nil {
		s.seen = nil
		os.Remove(f.Name())
	}
	return err
}

// count is how many backends are out, as this process has it.
func (s *state) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.bans)
}

func (s *state) close() {
	if s.locks != nil {
		s.locks.Close()
	}
}

// followEvery is how often a process looks for another and for bans made there: well
// inside the second that a ban may take.
const followEvery = 50 * time.Millisecond

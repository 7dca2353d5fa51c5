package agree

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// storeVersion is the format of a store's records, in the first byte of each.
const storeVersion = 1

// What a store consists of. Every record is
//
//	version (1 byte), CRC-32C of bucket, key and payload (4 bytes), payload
//
// so that a record that is read under another's key is found out as well.
var (
	bucketLog         = []byte("log")        // index, big-endian: a log entry
	bucketStable      = []byte("stable")     // raft's term and vote, and our own keys
	keyBounds         = []byte("agree/span") // the log's first and last index
	keyStableChecksum = []byte("agree/seal") // CRC-32C of all else in stable

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// logStore keeps raft's log, term and vote in one bbolt file. Each write is one
// transaction that is on disk (fsync) before it returns.
//
// openStore reads the whole file and refuses one that is torn or spoilt: a voter
// that has forgotten a vote or an entry it acknowledged could help to decide
// the opposite. After a write that failed it isn't known what the disk holds,
// so all later calls fail too and Failed tells; the next openStore finds out.
type logStore struct {
	path string
	db   *bbolt.DB
	lock *os.File

	update   func(func(*bbolt.Tx) error) error // db.Update, but for tests
	failures chan error                        // room for the first

	// Raft appends from one goroutine and compacts from another; both change
	// the log's ends.
	boundsMu sync.Mutex

	mu                    sync.Mutex
	firstIndex, lastIndex uint64 // of the log; 0: empty
	err                   error  // of the first write that failed
	raftRunning           bool   // raft runs: what it would panic on ends its goroutine
}

// openStore opens the store in the directory dir, which it makes if there is
// none, checks it and locks it against other processes.
func openStore(dir string) (*logStore, error) { return openBoundedStore(dir, 0) }

// openBoundedStore is openStore with a bound on the file's size in bytes; 0: none.
func openBoundedStore(dir string, maxSize int) (_ *logStore, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &logStore{path: filepath.Join(dir, "raft.db"), failures: make(chan error, 1)}
	defer func() {
		if err != nil {
			s.Close()
			err = fmt.Errorf("store %s: %w", s.path, err)
		}
	}()
	if err := s.lockDir(filepath.Join(dir, "lock")); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	// The list of free pages has no checksum, so it is made anew from the tree
	// at each start instead of read.
	options := bbolt.Options{Timeout: time.Second, NoFreelistSync: true, NoStatistics: true, MaxSize: maxSize}
	if err := recoverPageFault(func() error { s.db, err = bbolt.Open(s.path, 0o600, &options); return err }); err != nil {
		return nil, err
	}
	s.update = s.db.Update
	return s, s.createBuckets()
}

// createBuckets makes the two buckets of a new file.
func (s *logStore) createBuckets() error {
	made := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		made = tx.Bucket(bucketStable) != nil
		return nil
	})
	if made || err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketStable); err != nil {
			return err
		}
		return writeStableChecksum(tx)
	})
}

// lockDir takes the lock on the directory, which lasts until Close or until the
// process ends.
func (s *logStore) lockDir(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return errors.New("in use by another process")
		}
		return fmt.Errorf("lock: %w", err)
	}
	s.lock = f
	return nil
}

// Close gives the file and its lock free.
func (s *logStore) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
	return err
}

// Failed yields the error of the first write or read that failed.
func (s *logStore) Failed() <-chan error { return s.failures }

// fail marks the store as unusable.
func (s *logStore) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = fmt.Errorf("store %s: %w", s.path, err)
		s.failures <- s.err
	}
	return s.err
}

func (s *logStore) firstError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// enterRaft tells the store that raft calls it from here on.
func (s *logStore) setRaftRunning() {
	s.mu.Lock()
	s.raftRunning = true
	s.mu.Unlock()
}

// haltCaller ends the calling goroutine, which is one of raft's, instead of returning
// an error that raft panics on. The voter sees Failed and shuts raft down. What
// is deferred runs, so that asks under way are told that their leader is lost.
func (s *logStore) haltCaller(err error) error {
	s.mu.Lock()
	strict := s.raftRunning
	s.mu.Unlock()
	if strict {
		runtime.Goexit()
	}
	return err
}

func (s *logStore) write(f func(*bbolt.Tx) error) error {
	if err := s.firstError(); err != nil {
		return err
	}
	sealed := func(tx *bbolt.Tx) error {
		if err := f(tx); err != nil {
			return err
		}
		return writeStableChecksum(tx)
	}
	if err := recoverPageFault(func() error { return s.update(sealed) }); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *logStore) read(f func(*bbolt.Tx) error) error {
	if err := s.firstError(); err != nil {
		return err
	}
	err := recoverPageFault(func() error { return s.db.View(f) })
	if err != nil && err != raft.ErrLogNotFound {
		return s.fail(err)
	}
	return err
}

// recoverFault turns what bolt does on spoilt pages, a panic or a fault in its memory
// map, into an error.
func recoverPageFault(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("spoilt pages: %v", p)
		}
	}()
	return f()
}

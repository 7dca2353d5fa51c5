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

// storeVersion is the version of the record format, in the first byte of each record.
const storeVersion = 1

// Buckets and keys of a store. Every record is
//
//	version (1 byte), CRC-32C of bucket, key and payload (4 bytes), payload
//
// The checksum covers bucket and key, so that a record stored under a wrong key is
// detected as well.
var (
	bucketLog         = []byte("log")        // log entries by index, big-endian
	bucketStable      = []byte("stable")     // raft's term and vote, and the following keys
	keyBounds         = []byte("agree/span") // the first and last index of the log
	keyStableChecksum = []byte("agree/seal") // CRC-32C of all other records of bucketStable

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// logStore stores raft's log, term and vote in one bbolt file. Each write is one
// transaction that is synced to disk before the call returns.
//
// openStore reads the whole file and rejects one that is truncated or corrupt: a voter
// that has lost a vote or an acknowledged entry could help to commit a conflicting one.
// After a failed write the contents of the disk are unknown, so all later calls fail too
// and Failed yields the error; the next openStore checks the file again.
type logStore struct {
	path string
	db   *bbolt.DB
	lock *os.File

	update   func(func(*bbolt.Tx) error) error // db.Update; replaced by tests
	failures chan error                        // capacity 1: the first error

	// boundsMu serializes appends and deletions, which raft runs in different
	// goroutines and which both change the bounds of the log.
	boundsMu sync.Mutex

	mu                    sync.Mutex
	firstIndex, lastIndex uint64 // bounds of the log; 0: empty
	err                   error  // of the first write or read that failed
	raftRunning           bool   // raft runs, so haltCaller ends its goroutine
}

// openStore opens the store in the directory dir, verifies it and locks it against
// other processes. It creates the directory if there is none.
func openStore(dir string) (*logStore, error) { return openBoundedStore(dir, 0) }

// openBoundedStore is like openStore with a maximum file size in bytes; 0: unlimited.
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
	// bbolt's freelist has no checksum, so it is rebuilt from the tree at each start
	// instead of being read.
	options := bbolt.Options{Timeout: time.Second, NoFreelistSync: true, NoStatistics: true, MaxSize: maxSize}
	if err := recoverPageFault(func() error { s.db, err = bbolt.Open(s.path, 0o600, &options); return err }); err != nil {
		return nil, err
	}
	s.update = s.db.Update
	return s, s.createBuckets()
}

// createBuckets creates the two buckets in a new file.
func (s *logStore) createBuckets() error {
	exists := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		exists = tx.Bucket(bucketStable) != nil
		return nil
	})
	if exists || err != nil {
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

// lockDir locks the directory until Close is called or the process ends.
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

// Close closes the file and releases the lock.
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

// Failed returns a channel that receives the error of the first write or read that failed.
func (s *logStore) Failed() <-chan error { return s.failures }

// fail marks the store as unusable and returns the first error.
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

// setRaftRunning records that raft has started, see haltCaller.
func (s *logStore) setRaftRunning() {
	s.mu.Lock()
	s.raftRunning = true
	s.mu.Unlock()
}

// haltCaller ends the calling goroutine if raft is running, instead of returning an error
// on which raft would panic. The voter receives the error from Failed and shuts raft down.
// Deferred functions run, so raft fails the pending proposals with a loss of leadership.
func (s *logStore) haltCaller(err error) error {
	s.mu.Lock()
	running := s.raftRunning
	s.mu.Unlock()
	if running {
		runtime.Goexit()
	}
	return err
}

func (s *logStore) write(f func(*bbolt.Tx) error) error {
	if err := s.firstError(); err != nil {
		return err
	}
	withChecksum := func(tx *bbolt.Tx) error {
		if err := f(tx); err != nil {
			return err
		}
		return writeStableChecksum(tx)
	}
	if err := recoverPageFault(func() error { return s.update(withChecksum) }); err != nil {
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

// recoverPageFault converts a panic, or a memory fault in bbolt's memory map, to an error.
// Both happen on corrupt pages.
func recoverPageFault(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("corrupt pages: %v", p)
		}
	}()
	return f()
}

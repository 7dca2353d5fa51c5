package agree

import (
	"encoding/binary"
	"fmt"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// IsMonotonic makes raft clear the log when it installs a snapshot. So the log never
// has a gap, and a missing entry always means corruption.
func (s *logStore) IsMonotonic() bool { return true }

// FirstIndex returns the index of the first log entry; 0 if there is none.
func (s *logStore) FirstIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstIndex, s.err
}

// LastIndex returns the index of the last log entry; 0 if there is none.
func (s *logStore) LastIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastIndex, s.err
}

// GetLog reads the entry at an index into l. It returns raft.ErrLogNotFound
// if there is none; any other error
// stops the voter.
func (s *logStore) GetLog(index uint64, l *raft.Log) error {
	err := s.read(func(tx *bbolt.Tx) error {
		k := logKey(index)
		v := tx.Bucket(bucketLog).Get(k)
		if v == nil {
			return raft.ErrLogNotFound
		}
		if err := decodeLog(k, v, l); err != nil {
			return fmt.Errorf("log %d: %w", index, err)
		}
		return nil
	})
	if err != nil && err != raft.ErrLogNotFound {
		return s.haltCaller(err)
	}
	return err
}

// StoreLog appends one entry.
func (s *logStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs appends entries atomically.
func (s *logStore) StoreLogs(logs []*raft.Log) error {
	if len(logs) == 0 {
		return nil
	}
	s.boundsMu.Lock()
	defer s.boundsMu.Unlock()
	first, last := s.bounds()
	err := s.write(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLog)
		b.FillPercent = 0.9 // keys are appended in ascending order
		for _, l := range logs {
			if last != 0 && l.Index != last+1 {
				return fmt.Errorf("log %d: appended after %d", l.Index, last)
			}
			if first == 0 {
				first = l.Index
			}
			last = l.Index
			k := logKey(l.Index)
			if err := b.Put(k, newRecord(bucketLog, k, encodeLog(l))); err != nil {
				return err
			}
		}
		return writeBounds(tx, first, last)
	})
	if err == nil {
		s.setBounds(first, last)
	}
	return err
}

// DeleteRange deletes the entries from low to high, which must include an end of the log.
func (s *logStore) DeleteRange(low, high uint64) error {
	s.boundsMu.Lock()
	defer s.boundsMu.Unlock()
	first, last := s.bounds()
	low, high = max(low, first), min(high, last)
	if first == 0 || low > high {
		return nil
	}
	from, to := low, high
	switch {
	case low == first && high == last:
		first, last = 0, 0
	case low == first:
		first = high + 1
	case high == last:
		last = low - 1
	default:
		return fmt.Errorf("store %s: delete of %d to %d is not at an end of the log from %d to %d", s.path, low, high, first, last)
	}
	err := s.write(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLog)
		for index := from; index <= to; index++ {
			if err := b.Delete(logKey(index)); err != nil {
				return err
			}
		}
		return writeBounds(tx, first, last)
	})
	if err == nil {
		s.setBounds(first, last)
	}
	return err
}

func (s *logStore) bounds() (first, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstIndex, s.lastIndex
}

func (s *logStore) setBounds(first, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstIndex, s.lastIndex = first, last
}

func writeBounds(tx *bbolt.Tx, first, last uint64) error {
	span := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, first), last)
	return tx.Bucket(bucketStable).Put(keyBounds, newRecord(bucketStable, keyBounds, span))
}

package agree

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"
)

// Set stores val under key.
func (s *logStore) Set(key, val []byte) error {
	return s.write(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketStable).Put(key, newRecord(bucketStable, key, val))
	})
}

// Get returns the value under key; empty if there is none.
func (s *logStore) Get(key []byte) (val []byte, err error) {
	err = s.read(func(tx *bbolt.Tx) error {
		text, err := recordPayload(bucketStable, key, tx.Bucket(bucketStable).Get(key))
		val = bytes.Clone(text) // mapped memory is not valid after the transaction
		return err
	})
	return val, err
}

// SetUint64 stores val under key. Raft stores its term by it, and panics on an error.
func (s *logStore) SetUint64(key []byte, val uint64) error {
	if err := s.Set(key, binary.BigEndian.AppendUint64(nil, val)); err != nil {
		return s.haltCaller(err)
	}
	return nil
}

// GetUint64 returns the number under key; 0 if there is none.
func (s *logStore) GetUint64(key []byte) (uint64, error) {
	val, err := s.Get(key)
	if err != nil || len(val) == 0 {
		return 0, err
	}
	if len(val) != 8 {
		return 0, s.fail(fmt.Errorf("%s: number of %d bytes", key, len(val)))
	}
	return binary.BigEndian.Uint64(val), nil
}

package agree

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// check verifies the whole file without writing to it.
func (s *logStore) check() error {
	if info, err := os.Stat(s.path); errors.Is(err, os.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	} else if err != nil {
		return err
	}
	if err := checkPages(s.path); err != nil {
		return err
	}
	return recoverPageFault(func() error {
		db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
		if err != nil {
			return err
		}
		defer db.Close()
		return db.View(s.checkRecords)
	})
}

// checkRecords reads every record both by iteration and by its key, and compares the
// bounds of the log with the stored ones.
func (s *logStore) checkRecords(tx *bbolt.Tx) error {
	log, stable := tx.Bucket(bucketLog), tx.Bucket(bucketStable)
	if log == nil && stable == nil && tx.ID() <= newFileTxID {
		return nil // the process ended before createBuckets
	}
	if log == nil || stable == nil {
		return errors.New("log or stable bucket missing")
	}
	var first, last uint64
	if text, err := recordPayload(bucketStable, keyBounds, stable.Get(keyBounds)); err != nil {
		return err
	} else if len(text) == boundsSize {
		first, last = binary.BigEndian.Uint64(text), binary.BigEndian.Uint64(text[8:])
	}
	if err := checkLogBucket(log, first, last); err != nil {
		return err
	}
	if err := checkStableBucket(stable); err != nil {
		return err
	}
	s.firstIndex, s.lastIndex = first, last
	return nil
}

// checkLogBucket checks that the log has exactly the entries from first to last, all intact.
func checkLogBucket(log *bbolt.Bucket, first, last uint64) error {
	next := first
	for k, v, c := seekFirst(log); k != nil; k, v = c.Next() {
		if len(k) != 8 {
			return fmt.Errorf("log: key of %d bytes", len(k))
		}
		index := binary.BigEndian.Uint64(k)
		if index != next || index > last {
			return fmt.Errorf("log %d: found where %d was written", index, next)
		}
		if err := decodeLog(k, v, &raft.Log{}); err != nil {
			return fmt.Errorf("log %d: %w", index, err)
		}
		if !bytes.Equal(log.Get(k), v) {
			return fmt.Errorf("log %d: not found by its key", index)
		}
		next++
	}
	if last != 0 && next != last+1 {
		return fmt.Errorf("log %d: missing, written up to %d", next, last)
	}
	return nil
}

// checkStableBucket verifies each record of bucketStable, and by their checksum that none is
// missing.
func checkStableBucket(stable *bbolt.Bucket) error {
	for k, v, c := seekFirst(stable); k != nil; k, v = c.Next() {
		if _, err := recordPayload(bucketStable, k, v); err != nil {
			return fmt.Errorf("%s: %w", k, err)
		}
		if !bytes.Equal(stable.Get(k), v) {
			return fmt.Errorf("%s: not found by its key", k)
		}
	}
	if text, err := recordPayload(bucketStable, keyStableChecksum, stable.Get(keyStableChecksum)); err != nil {
		return err
	} else if !bytes.Equal(text, stableChecksum(stable)) {
		return errors.New("term or vote: missing")
	}
	return nil
}

// writeStableChecksum stores the checksum over bucketStable by which a missing record is detected.
// It has to be the last write of each transaction.
func writeStableChecksum(tx *bbolt.Tx) error {
	b := tx.Bucket(bucketStable)
	return b.Put(keyStableChecksum, newRecord(bucketStable, keyStableChecksum, stableChecksum(b)))
}

func stableChecksum(stable *bbolt.Bucket) []byte {
	var c uint32
	for k, v, cur := seekFirst(stable); k != nil; k, v = cur.Next() {
		if !bytes.Equal(k, keyStableChecksum) {
			c = crc32.Update(crc32.Update(c, castagnoli, k), castagnoli, v)
		}
	}
	return binary.BigEndian.AppendUint32(nil, c)
}

func seekFirst(b *bbolt.Bucket) (k, v []byte, c *bbolt.Cursor) {
	c = b.Cursor()
	k, v = c.First()
	return k, v, c
}

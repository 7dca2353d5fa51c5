package agree

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/hashicorp/raft"
)

const (
	recordHeaderSize = 1 + 4
	logHeaderSize    = 8 + 1 + 8 + 4 // term, type, append time, length of the data
	boundsSize       = 16            // first and last index

	newFileTxID = 1 // ID of the last transaction in a file that bbolt has just created
)

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func newRecord(bucket, key, payload []byte) []byte {
	v := append(make([]byte, 0, recordHeaderSize+len(payload)), storeVersion)
	v = binary.BigEndian.AppendUint32(v, recordChecksum(bucket, key, payload))
	return append(v, payload...)
}

// recordPayload verifies a record and returns its payload; nil if there is no record.
func recordPayload(bucket, key, v []byte) ([]byte, error) {
	switch {
	case v == nil:
		return nil, nil
	case len(v) < recordHeaderSize:
		return nil, fmt.Errorf("record of %d bytes", len(v))
	case v[0] != storeVersion:
		return nil, fmt.Errorf("format version %d, not %d", v[0], storeVersion)
	case binary.BigEndian.Uint32(v[1:]) != recordChecksum(bucket, key, v[recordHeaderSize:]):
		return nil, errors.New("checksum mismatch")
	}
	return v[recordHeaderSize:], nil
}

func recordChecksum(bucket, key, payload []byte) uint32 {
	c := crc32.Update(0, castagnoli, bucket)
	c = crc32.Update(c, castagnoli, key)
	return crc32.Update(c, castagnoli, payload)
}

func encodeLog(l *raft.Log) []byte {
	b := make([]byte, 0, logHeaderSize+len(l.Data)+len(l.Extensions))
	b = binary.BigEndian.AppendUint64(b, l.Term)
	b = append(b, byte(l.Type))
	var at int64
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	b = binary.BigEndian.AppendUint64(b, uint64(at))
	b = binary.BigEndian.AppendUint32(b, uint32(len(l.Data)))
	return append(append(b, l.Data...), l.Extensions...)
}

// decodeLog decodes the record v under key k into l, which shares no memory with v.
func decodeLog(k, v []byte, l *raft.Log) error {
	b, err := recordPayload(bucketLog, k, v)
	if err != nil {
		return err
	}
	if len(b) < logHeaderSize {
		return fmt.Errorf("entry of %d bytes", len(b))
	}
	size := binary.BigEndian.Uint32(b[17:])
	body := b[logHeaderSize:]
	if uint64(size) > uint64(len(body)) {
		return fmt.Errorf("data of %d bytes in %d", size, len(body))
	}
	*l = raft.Log{
		Index: binary.BigEndian.Uint64(k),
		Term:  binary.BigEndian.Uint64(b),
		Type:  raft.LogType(b[8]),
		Data:  bytes.Clone(body[:size]),
	}
	if at := int64(binary.BigEndian.Uint64(b[9:])); at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	if ext := body[size:]; len(ext) > 0 {
		l.Extensions = bytes.Clone(ext)
	}
	return nil
}

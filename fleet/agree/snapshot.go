package agree

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// snapshotVersion is the version of the snapshot format:
//
//	version (1 byte), CBOR of a snapshotImage, CRC-32C of the preceding bytes (4 bytes)
const snapshotVersion = 1

// snapshotImage is the replicated state: the sessions and the machine's state.
type snapshotImage struct {
	Index    uint64         `cbor:"1,keyasint"` // of the last applied command
	Sessions []sessionImage `cbor:"2,keyasint"`
	Machine  []byte         `cbor:"3,keyasint"`
}

func encodeSnapshot(body []byte) []byte {
	b := append([]byte{snapshotVersion}, body...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSnapshot(b []byte) (i snapshotImage, err error) {
	if len(b) < 5 {
		return i, fmt.Errorf("%d bytes", len(b))
	}
	body, end := b[:len(b)-4], b[len(b)-4:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(end) {
		return i, errors.New("checksum mismatch")
	}
	if body[0] != snapshotVersion {
		return i, fmt.Errorf("format version %d, not %d", body[0], snapshotVersion)
	}
	return i, snapshotDecMode.Unmarshal(body[1:], &i)
}

// snapshot is an encoded snapshot, which implements raft.FSMSnapshot.
type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

// openSnapshots verifies all snapshots in dir, and that the log has no gap after the
// latest one. Raft itself would fall back to an earlier snapshot, or to none.
func openSnapshots(dir string, store *logStore, log hclog.Logger) (*raft.FileSnapshotStore, error) {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, log)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", dir, err)
	}
	base := filepath.Join(dir, "snapshots")
	entries, err := os.ReadDir(base)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var snapshotIndex uint64
	for _, e := range entries {
		path := filepath.Join(base, e.Name())
		if strings.HasSuffix(e.Name(), ".tmp") { // the process ended while writing it
			if err := os.RemoveAll(path); err != nil {
				return nil, fmt.Errorf("store: %w", err)
			}
			continue
		}
		index, err := checkSnapshot(snapshots, e.Name())
		if err != nil {
			return nil, fmt.Errorf("store %s: %w", path, err)
		}
		snapshotIndex = max(snapshotIndex, index)
	}
	first, last := store.bounds()
	if first > snapshotIndex+1 {
		return nil, fmt.Errorf("store %s: log %d: missing, snapshots end at %d", store.path, first-1, snapshotIndex)
	}
	if last < snapshotIndex && last != 0 {
		// The process ended after it received a snapshot from the leader and before
		// the log was cleared.
		if err := store.DeleteRange(first, last); err != nil {
			return nil, err
		}
	}
	return snapshots, nil
}

func checkSnapshot(snapshots *raft.FileSnapshotStore, id string) (index uint64, err error) {
	meta, r, err := snapshots.Open(id)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		return 0, err
	}
	_, err = decodeSnapshot(b)
	return meta.Index, err
}

package agree

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
	"pgregory.net/rapid"
)

func mustOpenStore(t interface{ Fatal(...any) }, dir string) *logStore {
	s, err := openStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newFilledStore creates a store with entries 1 to n, a term and a vote, and closes it.
func newFilledStore(t testing.TB, n uint64) (dir string) {
	t.Helper()
	dir = t.TempDir()
	s := mustOpenStore(t, dir)
	defer s.Close()
	for i := uint64(1); i <= n; i++ {
		if err := s.StoreLog(&raft.Log{Index: i, Term: 3, Data: fmt.Appendf(nil, "entry %d", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SetUint64([]byte("term"), 3); err != nil {
		t.Fatal(err)
	}
	if err := s.Set([]byte("vote"), []byte("v2")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// editStore modifies the file of a closed store directly.
func editStore(t testing.TB, dir string, f func(log, stable *bbolt.Bucket) error) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "raft.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Update(func(tx *bbolt.Tx) error {
		return f(tx.Bucket(bucketLog), tx.Bucket(bucketStable))
	}); err != nil {
		t.Fatal(err)
	}
}

func TestCorruptRecords(t *testing.T) {
	flip := func(b *bbolt.Bucket, k []byte, at int) error {
		v := bytes.Clone(b.Get(k))
		v[at] ^= 1
		return b.Put(k, v)
	}
	for _, x := range []struct {
		name, want string
		corrupt    func(log, stable *bbolt.Bucket) error
	}{
		{"data", "log 17: checksum mismatch", func(l, _ *bbolt.Bucket) error { return flip(l, logKey(17), 30) }},
		{"sum", "log 17: checksum mismatch", func(l, _ *bbolt.Bucket) error { return flip(l, logKey(17), 2) }},
		{"version", "log 17: format version 0, not 1", func(l, _ *bbolt.Bucket) error { return flip(l, logKey(17), 0) }},
		{"swapped", "log 5: checksum mismatch", func(l, _ *bbolt.Bucket) error {
			return l.Put(logKey(5), bytes.Clone(l.Get(logKey(6))))
		}},
		{"short", "log 4: record of 3 bytes", func(l, _ *bbolt.Bucket) error { return l.Put(logKey(4), []byte{1, 2, 3}) }},
		{"gap", "log 9: found where 8 was written", func(l, _ *bbolt.Bucket) error { return l.Delete(logKey(8)) }},
		{"first missing", "log 2: found where 1 was written", func(l, _ *bbolt.Bucket) error { return l.Delete(logKey(1)) }},
		{"last missing", "log 20: missing, written up to 20", func(l, _ *bbolt.Bucket) error { return l.Delete(logKey(20)) }},
		{"extra entry", "log 21: found where 21 was written", func(l, _ *bbolt.Bucket) error {
			return l.Put(logKey(21), bytes.Clone(l.Get(logKey(20))))
		}},
		{"vote missing", "term or vote: missing", func(_, s *bbolt.Bucket) error { return s.Delete([]byte("vote")) }},
		{"term", "term: checksum mismatch", func(_, s *bbolt.Bucket) error { return flip(s, []byte("term"), 12) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			dir := newFilledStore(t, 20)
			editStore(t, dir, x.corrupt)
			_, err := openStore(dir)
			want := fmt.Sprintf("store %s: %s", filepath.Join(dir, "raft.db"), x.want)
			if err == nil || err.Error() != want {
				t.Fatalf("error %v, not %s", err, want)
			}
			if _, err := Start(Config{
				Name: "a", Dir: dir, InitialVoters: []Peer{{"a", "127.0.0.1:0", "127.0.0.1:0"}},
			}, newRegister(), discardLogger); err == nil || err.Error() != want {
				t.Fatalf("Start: error %v", err)
			}
		})
	}
}

func TestTruncatedStore(t *testing.T) {
	dir := newFilledStore(t, 200)
	path := filepath.Join(dir, "raft.db")
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{1, 4096, 8192, 16384, 20000} {
		if err := os.WriteFile(path, original[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := openStore(dir)
		if err == nil || !strings.Contains(err.Error(), "torn") {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}

// storeContents returns all that raft can read from a store.
func storeContents(s *logStore) string {
	var b strings.Builder
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	for i := first; i <= last; i++ {
		var l raft.Log
		err := s.GetLog(i, &l)
		fmt.Fprintln(&b, l.Index, l.Term, l.Type, l.AppendedAt.UnixNano(), l.Data, l.Extensions, err)
	}
	term, err := s.GetUint64([]byte("term"))
	vote, err2 := s.Get([]byte("vote"))
	fmt.Fprintln(&b, term, err, vote, err2)
	return b.String()
}

// Whichever bit of the file is flipped, the store is rejected or has its full contents.
func TestCorruptBytes(t *testing.T) {
	dir := newFilledStore(t, 60)
	path := filepath.Join(dir, "raft.db")
	s := mustOpenStore(t, dir)
	want := storeContents(s)
	s.Close()
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	rejected := 0
	const attempts = 1000
	for range attempts {
		at, bit := rng.IntN(len(original)), byte(1)<<rng.IntN(8)
		if rng.IntN(2) == 0 {
			at = at/4096*4096 + rng.IntN(128) // page headers
		}
		corrupt := bytes.Clone(original)
		corrupt[at] ^= bit
		if err := os.WriteFile(path, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := openStore(dir)
		if err != nil {
			rejected++
			continue
		}
		if got := storeContents(s); got != want {
			t.Fatalf("byte %d, bit %08b: opened with contents\n%snot\n%s", at, bit, got, want)
		}
		s.Close()
	}
	t.Logf("%d of %d rejected", rejected, attempts)
}

func TestLockedStore(t *testing.T) {
	dir := newFilledStore(t, 1)
	s := mustOpenStore(t, dir)
	if _, err := openStore(dir); err == nil || !strings.HasSuffix(err.Error(), "in use by another process") {
		t.Fatalf("second open: error %v", err)
	}
	s.Close()
	mustOpenStore(t, dir).Close()
}

// If the file can't grow, the append and all later calls fail, and earlier entries are kept.
func TestFullStore(t *testing.T) {
	dir := t.TempDir()
	s, err := openBoundedStore(dir, 256<<10)
	if err != nil {
		t.Fatal(err)
	}
	var last uint64
	for err == nil {
		last++
		err = s.StoreLog(&raft.Log{Index: last, Term: 1, Data: make([]byte, 4000)})
	}
	last--
	if got := <-s.Failed(); got != err {
		t.Fatalf("append failed with %v, Failed yields %v", err, got)
	}
	if s.Set([]byte("vote"), nil) == nil || s.SetUint64([]byte("term"), 1) == nil || s.GetLog(1, &raft.Log{}) == nil {
		t.Fatal("a call succeeded after a failed write")
	}
	s.Close()
	s = mustOpenStore(t, dir)
	defer s.Close()
	if got, _ := s.LastIndex(); got != last || last < 10 {
		t.Fatalf("last index %d, not %d", got, last)
	}
}

// TestStoreModel compares a store with a map and two bounds, and reopens it at random.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "agree")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		s := mustOpenStore(t, dir)
		s.db.NoSync = true
		defer func() { s.Close() }()
		model := map[uint64]string{}
		var first, last uint64
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				var logs []*raft.Log
				next := last + 1
				if last == 0 {
					next = rapid.Uint64Range(1, 1000).Draw(t, "from")
					first = next
				}
				for range rapid.IntRange(1, 9).Draw(t, "entries") {
					data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")
					logs = append(logs, &raft.Log{Index: next, Term: next / 3, Data: data})
					model[next] = string(data)
					last, next = next, next+1
				}
				if err := s.StoreLogs(logs); err != nil {
					t.Fatal(err)
				}
			case 3, 4:
				if last == 0 {
					continue
				}
				low, high := first, rapid.Uint64Range(first, last).Draw(t, "to")
				if rapid.Bool().Draw(t, "suffix") {
					low, high = high, last
				}
				if err := s.DeleteRange(low, high); err != nil {
					t.Fatal(err)
				}
				switch {
				case low == first && high == last:
					first, last = 0, 0
				case low == first:
					first = high + 1
				default:
					last = low - 1
				}
			case 5:
				s.Close()
				s = mustOpenStore(t, dir)
				s.db.NoSync = true
			}
			gotFirst, _ := s.FirstIndex()
			gotLast, _ := s.LastIndex()
			if gotFirst != first || gotLast != last {
				t.Fatalf("bounds %d to %d, not %d to %d", gotFirst, gotLast, first, last)
			}
			for i := first; i <= last && last != 0; i++ {
				var l raft.Log
				if err := s.GetLog(i, &l); err != nil || string(l.Data) != model[i] || l.Term != i/3 {
					t.Fatalf("log %d: %v, %v", i, l, err)
				}
			}
		}
	})
}

func FuzzStoreRecord(f *testing.F) {
	k := logKey(7)
	f.Add(newRecord(bucketLog, k, encodeLog(&raft.Log{Index: 7, Term: 2, Data: []byte("data")})))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, v []byte) {
		var l raft.Log
		if err := decodeLog(k, v, &l); err == nil {
			if again := newRecord(bucketLog, k, encodeLog(&l)); !bytes.Equal(again, v) {
				t.Fatalf("%x decoded and encoded again is %x", v, again)
			}
		}
		if len(v) > recordHeaderSize { // with a valid checksum, so that the rest of decodeLog is reached
			v = bytes.Clone(v)
			v[0] = storeVersion
			binary.BigEndian.PutUint32(v[1:], recordChecksum(bucketLog, k, v[recordHeaderSize:]))
			decodeLog(k, v, &l)
		}
	})
}

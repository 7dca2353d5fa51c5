package proxy

import (
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// requestIDs remembers the ids of requests that may have run, must not run again, and whose clients
// have left or been turned away: a client that comes again with such an id is turned away. All
// processes of a proxy share the ids through a file. What is remembered is bounded in number and in
// time.
//
// The table is an array of 64-bit words in groups. A word holds a part of an id's hash and the time up
// to which it is remembered; a single compare-and-swap claims it.
type requestIDs struct{ words []uint64 }

const (
	idGroups    = 1024 // a power of two
	idGroupSize = 8
	idFileBytes = idGroups * idGroupSize * int(unsafe.Sizeof(uint64(0)))

	// idMemory is how long an id is remembered.
	idMemory = 30 * time.Second
	// idTimeUnit is the unit of the time in a word, which has idTimeBits bits.
	idTimeUnit = 100 * time.Millisecond
	idTimeBits = 24
	idTimeMask = 1<<idTimeBits - 1
)

// newRequestIDs returns ids of this process alone.
func newRequestIDs() *requestIDs { return &requestIDs{words: make([]uint64, idGroups*idGroupSize)} }

// openRequestIDs opens the ids that the processes with the same file share. With an empty path, or after
// an error, it returns ids of this process alone.
func openRequestIDs(path string) (*requestIDs, error) {
	if path == "" {
		return newRequestIDs(), nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return newRequestIDs(), err
	}
	defer f.Close()
	// Without the space a write to the memory would end the process.
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(idFileBytes)); err != nil {
		return newRequestIDs(), os.NewSyscallError("fallocate", err)
	}
	mapped, err := unix.Mmap(int(f.Fd()), 0, idFileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return newRequestIDs(), os.NewSyscallError("mmap", err)
	}
	words := unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(mapped))), idGroups*idGroupSize)
	return &requestIDs{words: words}, nil // mapped up to the end of the process
}

// idTime returns a time on the clock that all processes share, in units of idTimeUnit.
func idTime(at time.Duration) uint64 { return uint64(at/idTimeUnit) & idTimeMask }

// isLive reports whether a word is remembered at a time.
func isLive(word, now uint64) bool {
	left := (word - now) & idTimeMask // the time may have gone round
	return word != 0 && left > 0 && left <= uint64(idMemory/idTimeUnit)
}

// idKey returns an id's group and the hash that its word holds.
func (t *requestIDs) idKey(id string) (group []uint64, tag uint64) {
	hash := hashID(id)
	first := int(hash%idGroups) * idGroupSize
	return t.words[first : first+idGroupSize], hash &^ idTimeMask
}

// hashID is FNV-1a with a final mix: all processes have to agree on it.
func hashID(id string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * prime
	}
	hash ^= hash >> 32
	hash *= 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return hash ^ hash>>29
}

// contains reports whether an id is remembered.
func (t *requestIDs) contains(id string) bool {
	group, tag := t.idKey(id)
	now := idTime(monotonicNow())
	for i := range group {
		word := atomic.LoadUint64(&group[i])
		if word&^idTimeMask == tag && isLive(word, now) {
			return true
		}
	}
	return false
}

// claim remembers an id from now on, unless it is remembered already, and reports whether it was not.
func (t *requestIDs) claim(id string) bool {
	group, tag := t.idKey(id)
	for {
		now := idTime(monotonicNow())
		claimed := tag | (now+uint64(idMemory/idTimeUnit))&idTimeMask
		slot, oldestWord, shortestLeft := 0, uint64(0), uint64(idTimeMask)
		for i := range group {
			word := atomic.LoadUint64(&group[i])
			live := isLive(word, now)
			if live && word&^idTimeMask == tag {
				return false
			}
			left := uint64(0) // a free word comes first, then the one that is free next
			if live {
				left = (word - now) & idTimeMask
			}
			if left < shortestLeft {
				slot, oldestWord, shortestLeft = i, word, left
			}
		}
		if atomic.CompareAndSwapUint64(&group[slot], oldestWord, claimed) {
			return true
		}
	}
}

// release forgets an id.
func (t *requestIDs) release(id string) {
	group, tag := t.idKey(id)
	for i := range group {
		if word := atomic.LoadUint64(&group[i]); word&^idTimeMask == tag {
			atomic.CompareAndSwapUint64(&group[i], word, 0)
		}
	}
}

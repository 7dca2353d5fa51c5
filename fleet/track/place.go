package track

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key is the 128-bit hash that stands for an opaque key, made of two XXH64 with
// seeds of the fleet's.
//
// Two keys with one hash are handled, not only improbable (a million entries
// have a pair with a chance of 1.5e-27): the second key meets the first one's entry
// and is refused, or is sent where the first is. The scope there drops repeats by
// the key itself, so it runs the second as what it is. No effect is doubled or
// lost. XXH64 does not resist an attacker who knows the seed; all that one gains
// is that some of its own calls are refused.
type Key struct{ hi, lo uint64 }

func hashKey(seed uint64, key string) Key {
	a, b := xxhash.NewWithSeed(seed), xxhash.NewWithSeed(seed^0x9e3779b97f4a7c15)
	a.WriteString(key)
	b.WriteString(key)
	return Key{a.Sum64(), b.Sum64()}
}

// ranges is how many ranges of keys are compared and handed over one by one.
const rangeCount = 64

func (k Key) rangeIndex() int { return int(k.hi >> 58) }

const maxReplicas = 5

// none marks an empty place in a list of replicas.
const noReplica = ^uint16(0)

// seat is a member as placement sees it.
type candidate struct {
	nameHash uint64
	zone     string
}

// place puts the positions in seats of the key's replicas into reps, best first
// (rendezvous hashing: Thaler and Ravishankar, IEEE/ACM ToN 1998), and returns
// how many there are. No zone has a second one while another has none.
func selectReplicas(seats []candidate, k Key, want int, reps *[maxReplicas]uint16) int {
	var buf [16]byte
	var score [maxReplicas]uint64
	binary.LittleEndian.PutUint64(buf[:], k.lo)
	for i := range reps {
		reps[i] = noReplica
	}
	selected := 0
	// First the best of each zone, then the best of the rest.
	for pass := 0; pass < 2 && selected < min(want, len(seats)); pass++ {
		fixed := selected
		for i := range seats {
			if slices.Contains(reps[:fixed], uint16(i)) {
				continue
			}
			binary.LittleEndian.PutUint64(buf[8:], seats[i].nameHash)
			s := xxhash.Sum64(buf[:])
			pos, outranked := -1, false
			for j := fixed; pass == 0 && j < selected; j++ {
				if seats[reps[j]].zone == seats[i].zone {
					pos, outranked = j, s <= score[j]
				}
			}
			if outranked {
				continue
			}
			if pos < 0 {
				if selected < want {
					selected++
				} else if s <= score[want-1] {
					continue
				}
				pos = selected - 1
			}
			// Insertion keeps the list sorted by score.
			for ; pos > fixed && score[pos-1] < s; pos-- {
				score[pos], reps[pos] = score[pos-1], reps[pos-1]
			}
			score[pos], reps[pos] = s, uint16(i)
		}
	}
	return selected
}

// majority is the least number of n replicas of which any two sets meet.
func majority(n int) int { return n/2 + 1 }

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

func candidatesOf(members []Member) []candidate {
	out := make([]candidate, 0, len(members))
	for _, m := range members {
		out = append(out, candidate{hashName(m.Name), m.Zone})
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.nameHash, b.nameHash) })
	return slices.CompactFunc(out, func(a, b candidate) bool { return a.nameHash == b.nameHash })
}

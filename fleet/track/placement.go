package track

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key is the 128-bit hash of an opaque key, made of two XXH64 hashes with different
// seeds, both derived from Settings.Seed.
//
// A hash collision is unlikely (a million entries contain a colliding pair with a
// probability of 1.5e-27) and handled: the second key meets the entry of the first
// and is refused, or is sent to the first one's target. That target deduplicates by
// the key itself, so it runs the second call as a separate one. No effect is
// duplicated or lost. XXH64 does not resist an attacker who knows the seed, but such
// an attacker can only cause some of its own calls to be refused.
type Key struct{ hi, lo uint64 }

func hashKey(seed uint64, key string) Key {
	a, b := xxhash.NewWithSeed(seed), xxhash.NewWithSeed(seed^0x9e3779b97f4a7c15)
	a.WriteString(key)
	b.WriteString(key)
	return Key{a.Sum64(), b.Sum64()}
}

// rangeCount is the number of key ranges that are compared and handed over separately.
const rangeCount = 64

func (k Key) rangeIndex() int { return int(k.hi >> 58) }

// maxReplicas is the largest number of replicas of an entry.
const maxReplicas = 5

// noReplica marks an unused element in a list of replicas.
const noReplica = ^uint16(0)

// candidate is a member eligible as a replica.
type candidate struct {
	nameHash uint64
	zone     string
}

// selectReplicas stores the candidate indexes of the key's replicas in reps, highest
// score first (rendezvous hashing: Thaler and Ravishankar, IEEE/ACM ToN 1998), and
// returns their number. No zone gets a second replica while another zone has none.
func selectReplicas(candidates []candidate, k Key, want int, replicas *[maxReplicas]uint16) int {
	var buf [16]byte
	var score [maxReplicas]uint64
	binary.LittleEndian.PutUint64(buf[:], k.lo)
	for i := range replicas {
		replicas[i] = noReplica
	}
	selected := 0
	// The first pass selects the best candidate of each zone, the second the best of the rest.
	for pass := 0; pass < 2 && selected < min(want, len(candidates)); pass++ {
		fixed := selected
		for i := range candidates {
			if slices.Contains(replicas[:fixed], uint16(i)) {
				continue
			}
			binary.LittleEndian.PutUint64(buf[8:], candidates[i].nameHash)
			s := xxhash.Sum64(buf[:])
			pos, outranked := -1, false
			for j := fixed; pass == 0 && j < selected; j++ {
				if candidates[replicas[j]].zone == candidates[i].zone {
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
			// Insert so that the list stays sorted by score.
			for ; pos > fixed && score[pos-1] < s; pos-- {
				score[pos], replicas[pos] = score[pos-1], replicas[pos-1]
			}
			score[pos], replicas[pos] = s, uint16(i)
		}
	}
	return selected
}

// majority returns the smallest size at which any two subsets of n replicas intersect.
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

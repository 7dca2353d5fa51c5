package overload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers are this member's for now. They change slowly: a caller may hold them for some tenths of a second.
type Controls struct {
	Confidence        float64 // 0: alone; 1: the others are heard
	LimitShare        float64 // own part of the shared limit, in N-ths
	RetryFraction     float64 // of the repeats that alone allows
	SlowStartFraction float64 // of the calls to a cold backend that alone allows
	ShedFraction      [MaxClasses]float64
	Episode           uint8
}

// Alone returns the numbers of a member that hears nobody: they change nothing.
func Standalone() Controls { return Controls{LimitShare: 1, RetryFraction: 1, SlowStartFraction: 1} }

// Numbers returns this member's numbers.
func (f *Fleet) Controls(now Time) Controls {
	f.advance(now)
	return Controls{
		Confidence: f.trust, LimitShare: f.part, RetryFraction: f.repeats, SlowStartFraction: min(1, f.part),
		ShedFraction: f.cut, Episode: f.spell,
	}
}

// Key is the hash of a request's key, to be the same at all members.
func HashKey(key []byte) uint64 { return xxhash.Sum64(key) }

// Shed tells whether a request of the class is to be turned away. It follows the key and the spell, so that
// all members with the same cut answer all tries of a key alike, and another spell sheds other keys.
func (n *Controls) ShouldShed(class int, key uint64) bool {
	return class >= 0 && class < MaxClasses && n.ShedFraction[class] > 0 && n.place(key, byte(class)) < n.ShedFraction[class]
}

// ComeBack spreads what a refused client is told to wait over half to one and a half times base, by its key,
// never over most.
func (n *Controls) RetryAfter(key uint64, base, most time.Duration) time.Duration {
	spread := 1 + n.Confidence*(n.place(key, 0xff)-0.5)
	return min(most, time.Duration(spread*float64(base)))
}

// place is where a key lies from 0 to 1 in this spell.
func (n *Controls) place(key uint64, salt byte) float64 {
	var b [10]byte
	binary.BigEndian.PutUint64(b[:], key)
	b[8], b[9] = n.Episode, salt
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// steerCut holds the level, the share of the work offered that the fleet bears, and cuts to it what is worth
// least.
func (f *Fleet) steerCut(now Time, seconds float64) {
	offered, served := f.offered(&f.means), f.means.ServedCost
	f.followSpell()
	switch {
	case f.trust == 0:
		f.level = 1
	case f.level < 1:
		f.steerLevel(offered, served, seconds)
	case f.strain >= strainRest && (f.turned >= turnedBegin || f.means.AdmittedFraction < 1):
		f.begin(now, offered, served)
	}
	target := f.target(offered)
	for i := range f.cut {
		f.cut[i] = max(f.cut[i]-cutFall*seconds, min(f.cut[i]+cutRise*seconds, f.trust*target[i]))
		if f.trust == 0 {
			f.cut[i] = 0
		}
	}
}

// full tells whether the fleet bears no more than it has.
func (f *Fleet) full() bool { return f.strain >= strainFull || f.turned >= turnedFull }

// begin starts a spell of overload. Its number is new, unless others began it a moment ago.
func (f *Fleet) begin(now Time, offered, served float64) {
	f.base = offered
	f.level = min(0.99, served/max(offered, 1e-9))
	if f.means.AdmittedFraction < 1 {
		f.level = f.means.AdmittedFraction
	}
	f.least = levelLeast * served
	if f.spellFrom == 0 || now-f.spellFrom > spellLeast {
		f.spell++
	}
	f.spellFrom = now
}

// followSpell takes over the number that half of the members heard have reached.
func (f *Fleet) followSpell() {
	ahead := int(f.median(func(_ *Vector, d *Digest) float64 {
		if d == nil {
			return 128
		}
		return 128 + float64(int8(d.Episode-f.spell))
	})) - 128
	if ahead > 0 {
		f.spell += uint8(ahead)
		f.spellFrom = f.last
	}
}

// steerLevel lets the level follow what is served while the fleet is full, and grow while there is room. It
// is a share, so that chance in whom this member hears is in what is offered and served alike; only a change
// of what is offered that is no chance moves it at once. It is drawn to the level of most others: each has
// seen other members.
func (f *Fleet) steerLevel(offered, served, seconds float64) {
	if offered > jump*f.base || f.base > jump*offered {
		f.level *= f.base / max(offered, 1e-9)
		f.base = offered
	}
	f.base += min(1, baseStep*seconds) * (offered - f.base)
	f.least = max(levelLeast*served, f.least*(1-levelFade*seconds))
	if f.full() {
		bears := served / max(offered, 1e-9) * max(levelLeast, 1-levelFall*max(0, f.strain-strainFull))
		bears = min(bears, f.level-max(0, f.turned-turnedFull)) // whom a mean counts for less is in it, too
		f.level += min(1, levelStep*seconds) * (bears - f.level)
	} else {
		free := max(0, strainFree-f.strain)
		f.level *= 1 + levelGrowth*free*free*seconds
	}
	if f.means.AdmittedFraction < 1 && f.strain >= strainRest {
		f.level += min(1, levelShare*seconds) * (f.means.AdmittedFraction - f.level)
	}
	f.level = min(1, max(f.level, f.least/max(offered, 1e-9)))
}

// target is the share of each class to be shed so that what is offered fits the level.
func (f *Fleet) target(offered float64) (cut [MaxClasses]float64) {
	if f.level == 1 {
		return cut
	}
	room := f.level * offered
	for _, i := range f.order {
		need := f.set.Classes[i].Cost * f.means.FirstAttempts[i]
		if f.set.UniformShedding {
			cut[i] = 1 - f.level
		} else if need > room {
			cut[i] = 1 - room/need
		}
		room = max(0, room-need)
	}
	return cut
}

// Trial tells whether a trial call to a backend that is out is for this member to make: one of each zone
// makes it, by rendezvous (Thaler, Ravishankar, IEEE/ACM ToN 1998), a member not heard of passed over. Once
// another has found it serving, each may try it, at a moment of its own.
func (f *Fleet) MayProbe(now Time, backend, zone string) bool {
	f.advance(now)
	if f.trust == 0 {
		return true
	}
	if zone != f.me.Zone {
		return false
	}
	hash := xxhash.Sum64String(backend)
	for _, b := range f.backs {
		if b.hash == uint16(hash) && now-b.at >= b.phase {
			return true
		}
	}
	own, all := rendezvous(f.me.hash, hash), 2*len(f.heard) >= f.roster-1
	for _, e := range f.others {
		if e.Zone == zone && (!all || f.weight(now, e) > 0) && rendezvous(e.hash, hash) > own {
			return false
		}
	}
	return true
}

func rendezvous(member, backend uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], member)
	binary.BigEndian.PutUint64(b[8:], backend)
	return xxhash.Sum64(b[:])
}

// Found takes that a trial call of this member's served: the others are told for some seconds.
func (f *Fleet) ProbeSucceeded(now Time, backend string) {
	f.back(now, uint16(xxhash.Sum64String(backend)), true)
}

func (f *Fleet) back(now Time, hash uint16, here bool) {
	if hash == 0 {
		return
	}
	for i := range f.backs {
		if b := &f.backs[i]; b.hash == hash {
			b.here = b.here || here
			return
		}
	}
	if len(f.backs) < 64 {
		phase := float64(rendezvous(f.me.hash, uint64(hash))>>11) / (1 << 53)
		f.backs = append(f.backs, found{hash, now, here, Time(phase * float64(backSpread))})
	}
}

// spending keeps repeats within the budget in each second, not only in the mean.
type spending struct {
	rate, before float64 // first tries a second, in the last two spans told
	spent        []Time  // in the last second
	slot         float64 // of the last repeat, where the budget is less than one a second
}

func (s *spending) seen(now Time, at func([]float64, int) float64, first []float64, seconds float64) {
	sum := 0.0
	for i := range first {
		sum += at(first, i)
	}
	s.before, s.rate = s.rate, sum/seconds
}

// Repeat asks whether an attempt that may have run may be made again now, and counts it if so. It is asked
// in addition to the retry budget that a balancer has alone. What is not used is not saved up: hundreds of
// members that have saved ten each would spend them in the same second. This needs nobody else's word and
// so holds while the fleet is cut apart; it is the one thing that a member with a fleet does unlike one
// without, heard or not.
func (f *Fleet) AllowRetry(now Time) bool {
	f.advance(now)
	s := &f.spending
	budget := f.set.RetryBudget * f.repeats * min(s.rate, s.before)
	kept := s.spent[:0]
	for _, at := range s.spent {
		if now-at < time.Second {
			kept = append(kept, at)
		}
	}
	s.spent = kept
	if budget < 1 {
		return len(s.spent) == 0 && f.ownSecond(now, budget)
	}
	if float64(len(s.spent))+1 > budget {
		return false
	}
	s.spent = append(s.spent, now)
	return true
}

// ownSecond tells whether this second is one of those that a budget of less than one a second gives this
// member, and takes it. Each has a phase of its own.
func (f *Fleet) ownSecond(now Time, budget float64) bool {
	s := &f.spending
	phase := float64(rendezvous(f.me.hash, 0)>>11) / (1 << 53)
	second := math.Floor((now - f.started).Seconds())
	of := func(second float64) float64 { return math.Floor(second*budget*repeatsFew + phase) }
	if second == s.slot || of(second) == of(second-1) {
		return false
	}
	s.slot = second
	s.spent = append(s.spent, now)
	return true
}

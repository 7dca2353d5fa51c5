package track

import (
	"encoding/binary"
	"time"
)

// ask is an Open that waits for its replicas.
type ask struct {
	key      Key
	id       ident
	class    uint8
	where    string
	ticket   uint64
	at, sent time.Duration
	restarts int

	n     int
	reps  [maxReplicas]uint16
	votes [maxReplicas]vote
	inc   [maxReplicas]uint32 // of the voter, with its vote
	vec   [maxReplicas]uint32 // highest incarnation of the replica that any voter knows
}

// call is an own call or flow that was let go.
type call struct {
	key      Key
	id       ident
	class    uint8
	state    State
	shared   bool
	busy     bool
	where    string
	n        int
	reps     [maxReplicas]uint16
	born     time.Duration
	activity time.Duration // last
	told     time.Duration // first send of this round
	mark     time.Duration // activity at that time
	sent     time.Duration // last send of this round
	acked    time.Duration // mark of the last round that a majority has acknowledged
	round    uint16
	tries    int
	acks     uint8
	index    int // in Table.list
}

const maxRestarts = 3

// maxTries is how often a round is sent; what is missing then comes by comparison.
const maxTries = 8

// Open asks whether a call or flow with this key may go to where: a backend, or the
// scope that drops its repeats. class is an index into Settings.Classes. A Pending
// verdict is followed by an Answer within AskWithin and a tick.
func (t *Table) Open(now time.Duration, key string, class int, where string) Verdict {
	now = t.at(now)
	if key == "" || len(key) > MaxKey || where == "" || len(where) > MaxTarget ||
		class < 0 || class >= len(t.set.Classes) {
		return t.refusal(BadRequest, 0)
	}
	keyed := t.set.Classes[class].Keyed
	k := hashKey(t.set.Seed, key)
	if t.asks[k] != nil {
		return t.refusal(Busy, t.set.AskWithin)
	}
	if c := t.calls[k]; c != nil && !keyed && c.state < Closing {
		c.activity = now
		return Verdict{Kind: OpenHere, Target: c.where, Generation: c.id.gen}
	}
	if len(t.seats) == 0 && keyed {
		return t.refusal(NoQuorum, t.set.AskWithin)
	}
	t.ticket++
	a := &ask{key: k, class: uint8(class), where: where, ticket: t.ticket, at: now}
	t.asks[k] = a
	t.asking = append(t.asking, a)
	before := len(t.answers)
	t.start(now, a)
	if t.asks[k] == a {
		return Verdict{Kind: Pending, Ticket: a.ticket}
	}
	v := t.answers[before].Verdict
	t.answers = append(t.answers[:before], t.answers[before+1:]...)
	return v
}

func (t *Table) refusal(why Reason, comeBack time.Duration) Verdict {
	t.stats.Refusals++
	return Verdict{Kind: Refused, Reason: why, RetryAfter: min(comeBack, t.set.MaxComeBack)}
}

// start asks all replicas under a new generation.
func (t *Table) start(now time.Duration, a *ask) {
	t.clock++
	a.id = ident{t.clock, t.id, t.inc}
	a.votes, a.inc, a.vec = [maxReplicas]vote{}, [maxReplicas]uint32{}, [maxReplicas]uint32{}
	a.n = place(t.seats, a.key, t.set.Replicas, &a.reps)
	t.sendAsks(now, a)
	for j, s := range a.reps[:a.n] {
		if int(s) == t.me {
			r := &record{key: a.key, id: a.id, class: a.class, state: Prepared, where: a.where}
			v := t.note(now, r)
			t.voted(now, a, j, t.inc, &v)
			return
		}
	}
	t.resolve(now, a, false)
}

func (t *Table) sendAsks(now time.Duration, a *ask) {
	a.sent = now
	rec := binary.BigEndian.AppendUint64(putKey([]byte{recAsk}, a.key), a.id.gen)
	rec = putString(append(rec, a.class), a.where)
	for j, s := range a.reps[:a.n] {
		if int(s) != t.me && a.votes[j].says == voteNone {
			t.add(t.peers[s], rec)
		}
	}
}

// voted takes a replica's answer.
func (t *Table) voted(now time.Duration, a *ask, j int, inc uint32, v *vote) {
	if v.says == voteNo && v.reason == StaleGeneration && a.restarts < maxRestarts {
		// The voter's clock came with its message and is above what has ended.
		a.restarts++
		t.sendWithdraw(a)
		t.start(now, a)
		return
	}
	a.votes[j], a.inc[j] = *v, inc
	for i := range min(v.n, a.n) {
		a.vec[i] = max(a.vec[i], v.vec[i])
	}
	t.resolve(now, a, false)
}

// resolve ends an ask as soon as its votes allow it, or now if last.
func (t *Table) resolve(now time.Duration, a *ask, last bool) {
	keyed, q := t.set.Classes[a.class].Keyed, t.quorum(a.n)
	yes, waiting, best, bestN := 0, 0, -1, 0
	why, comeBack := NoQuorum, t.set.AskWithin
	for j := range a.n {
		v := &a.votes[j]
		// An older life's vote is void: it has forgotten it.
		if v.says == voteNone || a.inc[j] < a.vec[j] {
			waiting++
			continue
		}
		switch v.says {
		case voteYes:
			yes++
		case voteNo:
			why, comeBack = max(why, v.reason), max(comeBack, v.comeBack)
		case voteKnown:
			why = max(why, Busy)
			n := 0
			for i := range j + 1 {
				if a.votes[i].says == voteKnown && a.votes[i].id == v.id && a.inc[i] >= a.vec[i] {
					n++
				}
			}
			newer := best < 0 || v.id.compare(a.votes[best].id) > 0
			if n > bestN || !keyed && newer {
				best, bestN = j, n
			}
		}
	}
	last = last || waiting == 0
	switch {
	case a.n > 0 && yes >= q:
		t.letGo(now, a, false)
	case best >= 0 && (bestN >= q || !keyed && last):
		t.elsewhere(now, a, &a.votes[best])
	case !keyed && last:
		t.letGo(now, a, true)
	case last, yes+waiting < q && bestN+waiting < q && keyed:
		t.refuse(now, a, why, comeBack)
	}
}

func (t *Table) closeAsk(a *ask) {
	delete(t.asks, a.key)
	t.asking = remove(t.asking, a)
}

func (t *Table) answer(a *ask, v Verdict) {
	v.Ticket = a.ticket
	t.answers = append(t.answers, Answer{v, a.key})
}

func (t *Table) letGo(now time.Duration, a *ask, alone bool) {
	t.closeAsk(a)
	t.stats.Opened++
	if alone {
		t.stats.Unconfirmed++
	}
	c := t.hold(a, a.id, a.where)
	c.born, c.activity, c.acked = now, now, a.at
	t.tell(now, c)
	t.answer(a, Verdict{Kind: New, Target: a.where, Generation: a.id.gen, Unconfirmed: alone})
}

func (t *Table) elsewhere(now time.Duration, a *ask, v *vote) {
	t.sendWithdraw(a)
	t.closeAsk(a)
	t.stats.OpenedElsewhere++
	kind := OpenElsewhere
	if v.id.owner == t.id && v.id.inc == t.inc {
		kind = OpenHere
	}
	c := t.calls[a.key]
	switch {
	case c != nil && c.id == v.id:
		c.shared = c.shared || t.set.Classes[a.class].Keyed
		c.activity = now
	case !t.set.Classes[a.class].Keyed:
		c = t.hold(a, v.id, v.where)
		c.born, c.activity, c.acked = now, now, a.at
		t.tell(now, c)
	}
	t.answer(a, Verdict{Kind: kind, Target: v.where, Generation: v.id.gen})
}

func (t *Table) refuse(now time.Duration, a *ask, why Reason, comeBack time.Duration) {
	t.sendWithdraw(a)
	t.closeAsk(a)
	t.answer(a, t.refusal(why, comeBack))
}

// sendWithdraw tells all replicas that the ask's generation was never let go.
func (t *Table) sendWithdraw(a *ask) {
	t.refused.add(use{a.key, a.id.gen})
	rec := binary.BigEndian.AppendUint64(putKey([]byte{recWithdraw}, a.key), a.id.gen)
	for _, s := range a.reps[:a.n] {
		if int(s) == t.me {
			t.withdraw(a.key, a.id)
		} else {
			t.add(t.peers[s], rec)
		}
	}
}

// hold makes the own record of a call that goes on.
func (t *Table) hold(a *ask, id ident, where string) *call {
	if old := t.calls[a.key]; old != nil {
		t.release(old)
	}
	c := &call{key: a.key, id: id, class: a.class, where: where, state: Open, n: a.n, reps: a.reps}
	c.index = len(t.list)
	t.calls[a.key] = c
	t.list = append(t.list, c)
	return c
}

func (t *Table) release(c *call) {
	delete(t.calls, c.key)
	n := len(t.list) - 1
	t.list[c.index] = t.list[n]
	t.list[c.index].index = c.index
	t.list[n] = nil
	t.list = t.list[:n]
}

// gone gives an own call up: the fleet has ended it, or may have.
func (t *Table) gone(c *call) {
	t.release(c)
	t.stats.OwnLost++
	if c.state < Closing && !t.set.Classes[c.class].Keyed {
		t.answers = append(t.answers, Answer{Verdict{Kind: FlowEnded, Target: c.where, Generation: c.id.gen}, c.key})
	}
}

// own returns the own call with this key and generation, or nil.
func (t *Table) own(key string, gen uint64) *call {
	c := t.calls[hashKey(t.set.Seed, key)]
	if c == nil || c.id.gen != gen {
		return nil
	}
	return c
}

// Touch reports activity of an own call or flow. It returns false if this member does
// not hold that generation any more.
func (t *Table) Touch(now time.Duration, key string, gen uint64) bool {
	now = t.at(now)
	c := t.own(key, gen)
	if c == nil || c.state >= Closing {
		return false
	}
	if t.lapsed(now, c) {
		t.gone(c)
		return false
	}
	c.activity = now
	if now-c.told >= t.set.TouchEvery {
		t.tell(now, c)
	}
	return true
}

// Done reports the end of an own call or flow. After MayRun a Finished may follow. It
// returns false if this member does not hold that generation any more.
func (t *Table) Done(now time.Duration, key string, gen uint64, how Outcome) bool {
	now = t.at(now)
	c := t.own(key, gen)
	if c == nil || c.state == Closed {
		return false
	}
	if t.lapsed(now, c) {
		t.gone(c)
		return false
	}
	c.state, c.activity = Closed, now
	if how == MayStillRun {
		c.state = Closing
	}
	t.tell(now, c)
	return true
}

// lapsed says that the replicas may have ended the call, since no majority has told of
// keeping it for so long. What is sent of it now could bring it back.
func (t *Table) lapsed(now time.Duration, c *call) bool {
	return now-c.acked > t.timeout(c.class, c.state)-2*t.set.Lag
}

// tell begins a round: all replicas are told of the call until they say they know.
func (t *Table) tell(now time.Duration, c *call) {
	c.round++
	c.told, c.mark, c.acks, c.tries = now, c.activity, 0, 0
	if !c.busy {
		c.busy = true
		t.busy = append(t.busy, c)
	}
	t.sendRound(now, c)
}

func (t *Table) sendRound(now time.Duration, c *call) {
	c.sent = now
	c.tries++
	r := &record{key: c.key, id: c.id, class: c.class, state: c.state, shared: c.shared, ack: true,
		round: c.round, idle: now - c.activity, age: now - c.born, where: c.where}
	for j, s := range c.reps[:c.n] {
		if int(s) != t.me || c.acks&(1<<j) != 0 {
			continue
		}
		switch t.join(now, r) {
		case taken:
			t.acknowledged(c, j)
		case over, older:
			t.gone(c)
			return
		}
	}
	for j, s := range c.reps[:c.n] {
		if int(s) != t.me && c.acks&(1<<j) == 0 {
			t.add(t.peers[s], putEntry(t.scratch[:0], r))
		}
	}
}

func (t *Table) acknowledged(c *call, j int) {
	c.acks |= 1 << j
	if onesCount(c.acks) >= t.quorum(c.n) {
		c.acked = c.mark
	}
}

func (t *Table) tickAsks(now time.Duration) {
	for i := 0; i < len(t.asking); {
		a := t.asking[i]
		switch {
		case now-a.at >= t.set.AskWithin:
			t.resolve(now, a, true)
		case now-a.sent >= t.set.AskWithin/3:
			t.sendAsks(now, a)
		}
		if i < len(t.asking) && t.asking[i] == a {
			i++
		}
	}
}

// tickCalls sends again what is not acknowledged, and gives up what the
// replicas may have ended.
func (t *Table) tickCalls(now time.Duration) {
	keep := t.busy[:0]
	for _, c := range t.busy {
		if t.calls[c.key] != c {
			continue
		}
		if !t.settled(c) && c.tries < maxTries {
			if now-c.sent >= t.set.Lag/2 {
				t.sendRound(now, c)
			}
			if t.calls[c.key] == c {
				keep = append(keep, c)
			}
			continue
		}
		c.busy = false
	}
	clear(t.busy[len(keep):])
	t.busy = keep
	if now-t.listAt < t.set.Sweep {
		return
	}
	t.listAt = now
	for i := 0; i < len(t.list); {
		c := t.list[i]
		switch {
		case c.state == Closed && !c.busy:
			t.release(c)
			continue
		case c.state == Closed:
		case t.lapsed(now, c) && !(c.state == Closing && c.busy):
			t.gone(c)
			continue
		case c.activity > c.told && now-c.told >= t.set.TouchEvery:
			t.tell(now, c)
		}
		if i < len(t.list) && t.list[i] == c {
			i++
		}
	}
}

// settled says that all replicas in touch have acknowledged this round.
func (t *Table) settled(c *call) bool {
	for j, s := range c.reps[:c.n] {
		if c.acks&(1<<j) == 0 && int(s) != t.me && t.peers[s].Alive {
			return false
		}
	}
	return true
}

// use is one use of a key by this member.
type use struct {
	key Key
	gen uint64
}

// refusedList remembers what was withdrawn, the last 4096.
type refusedList struct {
	has  map[use]bool
	ring []use
	next int
}

func (l *refusedList) add(u use) {
	if l.has == nil {
		l.has = map[use]bool{}
	}
	if len(l.ring) < 4096 {
		l.ring = append(l.ring, u)
	} else {
		delete(l.has, l.ring[l.next])
		l.ring[l.next] = u
		l.next = (l.next + 1) % len(l.ring)
	}
	l.has[u] = true
}

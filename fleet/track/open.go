package track

import (
	"encoding/binary"
	"time"
)

// pendingOpen is an Open that waits for the votes of its replicas.
type pendingOpen struct {
	key                   Key
	generation            generationID
	class                 uint8
	target                string
	ticket                uint64
	startedAt, lastSentAt time.Duration
	restarts              int

	replicaCount      int
	replicas          [maxReplicas]uint16
	votes             [maxReplicas]vote
	voterIncarnations [maxReplicas]uint32 // incarnation of each voter when it voted
	knownIncarnations [maxReplicas]uint32 // highest incarnation of each replica known to any voter
}

// call is a call or flow that this member has admitted.
type call struct {
	key               Key
	generation        generationID
	class             uint8
	state             State
	retried           bool
	unacked           bool
	target            string
	replicaCount      int
	replicas          [maxReplicas]uint16
	firstSent         time.Duration
	lastActivity      time.Duration
	roundStart        time.Duration // first send of the current round
	roundActivity     time.Duration // lastActivity at roundStart
	lastSentAt        time.Duration // last send of the current round
	confirmedActivity time.Duration // roundActivity of the last round that a majority has acknowledged
	round             uint16
	attempts          int
	acks              uint8
	listIndex         int // in Table.callList
}

// maxRestarts is how often an Open starts again under a newer generation after a vote of
// StaleGeneration.
const maxRestarts = 3

// maxRoundAttempts is how often a round is sent. Replicas that still lack it get it by
// digest comparison.
const maxRoundAttempts = 8

// Open asks whether a call or flow with this key may be sent to target: a backend, or the
// scope that deduplicates it. class is an index into Settings.Classes. A Pending verdict
// is followed by an Answer within AskWithin and one Tick.
func (t *Table) Open(now time.Duration, key string, class int, target string) Verdict {
	now = t.advanceClock(now)
	if key == "" || len(key) > MaxKey || target == "" || len(target) > MaxTarget ||
		class < 0 || class >= len(t.settings.Classes) {
		return t.refusal(BadRequest, 0)
	}
	keyed := t.settings.Classes[class].Keyed
	k := hashKey(t.settings.Seed, key)
	if t.pendingOpens[k] != nil {
		return t.refusal(Busy, t.settings.AskWithin)
	}
	if c := t.calls[k]; c != nil && !keyed && c.state < Closing {
		c.lastActivity = now
		return Verdict{Kind: OpenHere, Target: c.target, Generation: c.generation.number}
	}
	if len(t.candidates) == 0 && keyed {
		return t.refusal(NoQuorum, t.settings.AskWithin)
	}
	t.lastTicket++
	pending := &pendingOpen{key: k, class: uint8(class), target: target, ticket: t.lastTicket, startedAt: now}
	t.pendingOpens[k] = pending
	t.pendingOpenList = append(t.pendingOpenList, pending)
	answersBefore := len(t.answers)
	t.startPrepare(now, pending)
	if t.pendingOpens[k] == pending {
		return Verdict{Kind: Pending, Ticket: pending.ticket}
	}
	v := t.answers[answersBefore].Verdict
	t.answers = append(t.answers[:answersBefore], t.answers[answersBefore+1:]...)
	return v
}

func (t *Table) refusal(reason Reason, retryAfter time.Duration) Verdict {
	t.stats.Refusals++
	return Verdict{Kind: Refused, Reason: reason, RetryAfter: min(retryAfter, t.settings.MaxComeBack)}
}

// startPrepare asks all replicas to prepare the call under a new generation.
func (t *Table) startPrepare(now time.Duration, pending *pendingOpen) {
	t.logicalClock++
	pending.generation = generationID{t.logicalClock, t.selfID, t.incarnation}
	pending.votes, pending.voterIncarnations, pending.knownIncarnations = [maxReplicas]vote{},
		[maxReplicas]uint32{}, [maxReplicas]uint32{}
	pending.replicaCount = selectReplicas(t.candidates, pending.key, t.settings.Replicas, &pending.replicas)
	t.sendPrepares(now, pending)
	for j, s := range pending.replicas[:pending.replicaCount] {
		if int(s) == t.selfIndex {
			r := &entryRecord{key: pending.key, generation: pending.generation, class: pending.class,
				state: Prepared, target: pending.target}
			v := t.prepare(now, r)
			t.handleReplicaVote(now, pending, j, t.incarnation, &v)
			return
		}
	}
	t.resolve(now, pending, false)
}

func (t *Table) sendPrepares(now time.Duration, pending *pendingOpen) {
	pending.lastSentAt = now
	rec := binary.BigEndian.AppendUint64(appendKey([]byte{recPrepare}, pending.key), pending.generation.number)
	rec = appendString(append(rec, pending.class), pending.target)
	for j, s := range pending.replicas[:pending.replicaCount] {
		if int(s) != t.selfIndex && pending.votes[j].decision == voteNone {
			t.enqueue(t.peers[s], rec)
		}
	}
}

// handleReplicaVote records a replica's vote.
func (t *Table) handleReplicaVote(now time.Duration, pending *pendingOpen, index int,
	voterIncarnation uint32, v *vote) {
	if v.decision == voteNo && v.reason == StaleGeneration && pending.restarts < maxRestarts {
		// The vote's message raised the logical clock above the ended generation.
		pending.restarts++
		t.sendWithdraw(pending)
		t.startPrepare(now, pending)
		return
	}
	pending.votes[index], pending.voterIncarnations[index] = *v, voterIncarnation
	for i := range min(v.replicaCount, pending.replicaCount) {
		pending.knownIncarnations[i] = max(pending.knownIncarnations[i], v.incarnations[i])
	}
	t.resolve(now, pending, false)
}

// resolve completes a pending Open as soon as its votes decide it, or now if final.
func (t *Table) resolve(now time.Duration, pending *pendingOpen, final bool) {
	keyed, quorum := t.settings.Classes[pending.class].Keyed, t.quorumSize(pending.replicaCount)
	yes, waiting, best, bestCount := 0, 0, -1, 0
	reason, retryAfter := NoQuorum, t.settings.AskWithin
	for j := range pending.replicaCount {
		v := &pending.votes[j]
		// A vote from an older incarnation is void: the restarted replica has lost it.
		if v.decision == voteNone || pending.voterIncarnations[j] < pending.knownIncarnations[j] {
			waiting++
			continue
		}
		switch v.decision {
		case voteYes:
			yes++
		case voteNo:
			reason, retryAfter = max(reason, v.reason), max(retryAfter, v.retryAfter)
		case voteExisting:
			reason = max(reason, Busy)
			n := 0
			for i := range j + 1 {
				if pending.votes[i].decision == voteExisting && pending.votes[i].existing == v.existing &&
					pending.voterIncarnations[i] >= pending.knownIncarnations[i] {
					n++
				}
			}
			newer := best < 0 || v.existing.compare(pending.votes[best].existing) > 0
			if n > bestCount || !keyed && newer {
				best, bestCount = j, n
			}
		}
	}
	final = final || waiting == 0
	switch {
	case pending.replicaCount > 0 && yes >= quorum:
		t.admit(now, pending, false)
	case best >= 0 && (bestCount >= quorum || !keyed && final):
		t.answerExisting(now, pending, &pending.votes[best])
	case !keyed && final:
		t.admit(now, pending, true)
	case final, yes+waiting < quorum && bestCount+waiting < quorum && keyed:
		t.refuse(now, pending, reason, retryAfter)
	}
}

func (t *Table) finishOpen(pending *pendingOpen) {
	delete(t.pendingOpens, pending.key)
	t.pendingOpenList = removeFirst(t.pendingOpenList, pending)
}

func (t *Table) queueAnswer(pending *pendingOpen, v Verdict) {
	v.Ticket = pending.ticket
	t.answers = append(t.answers, Answer{v, pending.key})
}

func (t *Table) admit(now time.Duration, pending *pendingOpen, unconfirmed bool) {
	t.finishOpen(pending)
	t.stats.Opened++
	if unconfirmed {
		t.stats.Unconfirmed++
	}
	c := t.trackCall(pending, pending.generation, pending.target)
	c.firstSent, c.lastActivity, c.confirmedActivity = now, now, pending.startedAt
	t.startRound(now, c)
	t.queueAnswer(pending, Verdict{Kind: New, Target: pending.target,
		Generation: pending.generation.number, Unconfirmed: unconfirmed})
}

func (t *Table) answerExisting(now time.Duration, pending *pendingOpen, v *vote) {
	t.sendWithdraw(pending)
	t.finishOpen(pending)
	t.stats.OpenedElsewhere++
	kind := OpenElsewhere
	if v.existing.ownerID == t.selfID && v.existing.ownerIncarnation == t.incarnation {
		kind = OpenHere
	}
	c := t.calls[pending.key]
	switch {
	case c != nil && c.generation == v.existing:
		c.retried = c.retried || t.settings.Classes[pending.class].Keyed
		c.lastActivity = now
	case !t.settings.Classes[pending.class].Keyed:
		c = t.trackCall(pending, v.existing, v.target)
		c.firstSent, c.lastActivity, c.confirmedActivity = now, now, pending.startedAt
		t.startRound(now, c)
	}
	t.queueAnswer(pending, Verdict{Kind: kind, Target: v.target, Generation: v.existing.number})
}

func (t *Table) refuse(now time.Duration, pending *pendingOpen, reason Reason, retryAfter time.Duration) {
	t.sendWithdraw(pending)
	t.finishOpen(pending)
	t.queueAnswer(pending, t.refusal(reason, retryAfter))
}

// sendWithdraw tells all replicas that the call was never admitted under its generation.
func (t *Table) sendWithdraw(pending *pendingOpen) {
	t.withdrawn.add(keyUse{pending.key, pending.generation.number})
	rec := binary.BigEndian.AppendUint64(appendKey([]byte{recWithdraw}, pending.key), pending.generation.number)
	for _, index := range pending.replicas[:pending.replicaCount] {
		if int(index) == t.selfIndex {
			t.withdraw(pending.key, pending.generation)
		} else {
			t.enqueue(t.peers[index], rec)
		}
	}
}

// trackCall creates the local record of an admitted call.
func (t *Table) trackCall(pending *pendingOpen, id generationID, target string) *call {
	if old := t.calls[pending.key]; old != nil {
		t.untrackCall(old)
	}
	c := &call{key: pending.key, generation: id, class: pending.class, target: target, state: Open,
		replicaCount: pending.replicaCount, replicas: pending.replicas}
	c.listIndex = len(t.callList)
	t.calls[pending.key] = c
	t.callList = append(t.callList, c)
	return c
}

func (t *Table) untrackCall(c *call) {
	delete(t.calls, c.key)
	n := len(t.callList) - 1
	t.callList[c.listIndex] = t.callList[n]
	t.callList[c.listIndex].listIndex = c.listIndex
	t.callList[n] = nil
	t.callList = t.callList[:n]
}

// dropCall stops tracking a call that the fleet has ended or may have ended.
func (t *Table) dropCall(c *call) {
	t.untrackCall(c)
	t.stats.OwnLost++
	if c.state < Closing && !t.settings.Classes[c.class].Keyed {
		t.answers = append(t.answers, Answer{Verdict{Kind: FlowEnded, Target: c.target,
			Generation: c.generation.number}, c.key})
	}
}

// findCall returns this member's call with this key and generation, or nil.
func (t *Table) findCall(key string, gen uint64) *call {
	c := t.calls[hashKey(t.settings.Seed, key)]
	if c == nil || c.generation.number != gen {
		return nil
	}
	return c
}

// Touch reports activity of one of this member's calls or flows. It returns false if this
// member no longer holds that generation.
func (t *Table) Touch(now time.Duration, key string, gen uint64) bool {
	now = t.advanceClock(now)
	c := t.findCall(key, gen)
	if c == nil || c.state >= Closing {
		return false
	}
	if t.mayHaveExpired(now, c) {
		t.dropCall(c)
		return false
	}
	c.lastActivity = now
	if now-c.roundStart >= t.settings.TouchEvery {
		t.startRound(now, c)
	}
	return true
}

// Done reports the end of one of this member's calls or flows. Finished may follow
// MayStillRun. It returns false if this member no longer holds that generation.
func (t *Table) Done(now time.Duration, key string, gen uint64, how Outcome) bool {
	now = t.advanceClock(now)
	c := t.findCall(key, gen)
	if c == nil || c.state == Closed {
		return false
	}
	if t.mayHaveExpired(now, c) {
		t.dropCall(c)
		return false
	}
	c.state, c.lastActivity = Closed, now
	if how == MayStillRun {
		c.state = Closing
	}
	t.startRound(now, c)
	return true
}

// mayHaveExpired reports whether the replicas may have ended the call because no majority
// has acknowledged activity for too long. An update sent now could recreate its entry.
func (t *Table) mayHaveExpired(now time.Duration, c *call) bool {
	return now-c.confirmedActivity > t.timeout(c.class, c.state)-2*t.settings.Lag
}

// startRound starts an update round: the call's state is sent to all replicas until they
// acknowledge it.
func (t *Table) startRound(now time.Duration, c *call) {
	c.round++
	c.roundStart, c.roundActivity, c.acks, c.attempts = now, c.lastActivity, 0, 0
	if !c.unacked {
		c.unacked = true
		t.unackedCalls = append(t.unackedCalls, c)
	}
	t.sendRound(now, c)
}

func (t *Table) sendRound(now time.Duration, c *call) {
	c.lastSentAt = now
	c.attempts++
	r := &entryRecord{key: c.key, generation: c.generation, class: c.class, state: c.state,
		retried: c.retried, wantAck: true,
		round: c.round, idle: now - c.lastActivity, age: now - c.firstSent, target: c.target}
	for j, s := range c.replicas[:c.replicaCount] {
		if int(s) != t.selfIndex || c.acks&(1<<j) != 0 {
			continue
		}
		switch t.merge(now, r) {
		case mergeApplied:
			t.acknowledged(c, j)
		case mergeBuried, mergeStale:
			t.dropCall(c)
			return
		}
	}
	for j, s := range c.replicas[:c.replicaCount] {
		if int(s) != t.selfIndex && c.acks&(1<<j) == 0 {
			t.enqueue(t.peers[s], appendEntry(t.scratch[:0], r))
		}
	}
}

func (t *Table) acknowledged(c *call, j int) {
	c.acks |= 1 << j
	if onesCount(c.acks) >= t.quorumSize(c.replicaCount) {
		c.confirmedActivity = c.roundActivity
	}
}

func (t *Table) tickOpens(now time.Duration) {
	for i := 0; i < len(t.pendingOpenList); {
		pending := t.pendingOpenList[i]
		switch {
		case now-pending.startedAt >= t.settings.AskWithin:
			t.resolve(now, pending, true)
		case now-pending.lastSentAt >= t.settings.AskWithin/3:
			t.sendPrepares(now, pending)
		}
		if i < len(t.pendingOpenList) && t.pendingOpenList[i] == pending {
			i++
		}
	}
}

// tickCalls resends unacknowledged updates and drops calls that the replicas may have
// ended.
func (t *Table) tickCalls(now time.Duration) {
	keep := t.unackedCalls[:0]
	for _, c := range t.unackedCalls {
		if t.calls[c.key] != c {
			continue
		}
		if !t.allAliveAcked(c) && c.attempts < maxRoundAttempts {
			if now-c.lastSentAt >= t.settings.Lag/2 {
				t.sendRound(now, c)
			}
			if t.calls[c.key] == c {
				keep = append(keep, c)
			}
			continue
		}
		c.unacked = false
	}
	clear(t.unackedCalls[len(keep):])
	t.unackedCalls = keep
	if now-t.callsCheckedAt < t.settings.Sweep {
		return
	}
	t.callsCheckedAt = now
	for i := 0; i < len(t.callList); {
		c := t.callList[i]
		switch {
		case c.state == Closed && !c.unacked:
			t.untrackCall(c)
			continue
		case c.state == Closed:
		case t.mayHaveExpired(now, c) && !(c.state == Closing && c.unacked):
			t.dropCall(c)
			continue
		case c.lastActivity > c.roundStart && now-c.roundStart >= t.settings.TouchEvery:
			t.startRound(now, c)
		}
		if i < len(t.callList) && t.callList[i] == c {
			i++
		}
	}
}

// allAliveAcked reports whether all replicas believed alive have acknowledged this round.
func (t *Table) allAliveAcked(c *call) bool {
	for j, s := range c.replicas[:c.replicaCount] {
		if c.acks&(1<<j) == 0 && int(s) != t.selfIndex && t.peers[s].Alive {
			return false
		}
	}
	return true
}

// keyUse is one use of a key by this member.
type keyUse struct {
	key        Key
	generation uint64
}

// withdrawnSet holds the last 4096 withdrawn generations.
type withdrawnSet struct {
	members map[keyUse]bool
	ring    []keyUse
	next    int
}

func (l *withdrawnSet) add(u keyUse) {
	if l.members == nil {
		l.members = map[keyUse]bool{}
	}
	if len(l.ring) < 4096 {
		l.ring = append(l.ring, u)
	} else {
		delete(l.members, l.ring[l.next])
		l.ring[l.next] = u
		l.next = (l.next + 1) % len(l.ring)
	}
	l.members[u] = true
}

package agree

import (
	"container/list"
	"maps"
	"slices"
)

// Sessions make an ask that is repeated under its own number apply once
// (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.3). They
// are part of the agreed state: the same entries leave the same sessions.

// Bounds of the sessions kept.
const (
	maxSessions  = 4096     // the one unused longest goes
	maxHeld      = 64       // answers of one session that it has not confirmed
	maxHeldBytes = 16 << 20 // answers of all
)

// outcome says what became of an ask at its place in the log.
type outcome uint8

const (
	outcomeApplied            outcome = iota // by this entry, or an earlier one with the same number
	outcomeUnknownSession                    // the session is not known (any more); not applied
	outcomeConfirmed                         // its answer has been confirmed; not applied again
	outcomeTooManyUnconfirmed                // too many answers are unconfirmed; not applied
)

func (o outcome) String() string {
	return [...]string{"applied", "session unknown", "confirmed", "too many unconfirmed"}[o]
}

// heldAnswer is the answer to an ask that was applied.
type heldAnswer struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Answer []byte `cbor:"3,keyasint"`
}

type session struct {
	id        uint64
	confirmed uint64
	answers   map[uint64]heldAnswer
}

// sessions are ordered by their last use, the longest ago first.
type sessions struct {
	order *list.List // of *session
	byID  map[uint64]*list.Element
	bytes int // of the answers

	maxSessions, maxBytes int // bounds
}

func newSessions() *sessions {
	return &sessions{
		order: list.New(), byID: map[uint64]*list.Element{},
		maxSessions: maxSessions, maxBytes: maxHeldBytes,
	}
}

func (s *sessions) open(id uint64) {
	s.byID[id] = s.order.PushBack(&session{id: id, answers: map[uint64]heldAnswer{}})
	s.evict()
}

// applyOnce answers an ask, by apply if it has not been applied before.
func (s *sessions) applyOnce(index uint64, a *sessionEntry, apply func() []byte) (heldAnswer, outcome) {
	e := s.byID[a.Session]
	if e == nil {
		return heldAnswer{}, outcomeUnknownSession
	}
	s.order.MoveToBack(e)
	sess := e.Value.(*session)
	s.confirm(sess, a.Done)
	if h, ok := sess.answers[a.Seq]; ok {
		return h, outcomeApplied
	}
	if a.Seq <= sess.confirmed {
		return heldAnswer{}, outcomeConfirmed
	}
	if len(sess.answers) >= maxHeld {
		return heldAnswer{}, outcomeTooManyUnconfirmed
	}
	h := heldAnswer{Seq: a.Seq, Index: index, Answer: apply()}
	sess.answers[a.Seq] = h
	s.bytes += len(h.Answer)
	s.evict()
	return h, outcomeApplied
}

// confirm forgets answers that the asker has had.
func (s *sessions) confirm(sess *session, done uint64) {
	if done <= sess.confirmed {
		return
	}
	sess.confirmed = done
	for seq, h := range sess.answers {
		if seq <= done {
			s.bytes -= len(h.Answer)
			delete(sess.answers, seq)
		}
	}
}

// evict keeps to the bounds; the session used last is kept in any case.
func (s *sessions) evict() {
	for s.order.Len() > 1 && (s.order.Len() > s.maxSessions || s.bytes > s.maxBytes) {
		sess := s.order.Remove(s.order.Front()).(*session)
		delete(s.byID, sess.id)
		for _, h := range sess.answers {
			s.bytes -= len(h.Answer)
		}
	}
}

// sessionImage is a session in a snapshot.
type sessionImage struct {
	ID      uint64       `cbor:"1,keyasint"`
	Done    uint64       `cbor:"2,keyasint"`
	Answers []heldAnswer `cbor:"3,keyasint"`
}

func (s *sessions) image() []sessionImage {
	all := make([]sessionImage, 0, s.order.Len())
	for e := s.order.Front(); e != nil; e = e.Next() {
		sess := e.Value.(*session)
		image := sessionImage{ID: sess.id, Done: sess.confirmed}
		for _, seq := range slices.Sorted(maps.Keys(sess.answers)) {
			image.Answers = append(image.Answers, sess.answers[seq])
		}
		all = append(all, image)
	}
	return all
}

func (s *sessions) restore(all []sessionImage) {
	s.order.Init()
	clear(s.byID)
	s.bytes = 0
	for _, image := range all {
		sess := &session{id: image.ID, confirmed: image.Done, answers: map[uint64]heldAnswer{}}
		for _, h := range image.Answers {
			sess.answers[h.Seq] = h
			s.bytes += len(h.Answer)
		}
		s.byID[sess.id] = s.order.PushBack(sess)
	}
}

package agree

import (
	"container/list"
	"maps"
	"slices"
)

// Sessions deduplicate retried proposals by sequence number, so that each is applied
// once (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.3). They
// are part of the replicated state: the same entries result in the same sessions.

// Bounds on the sessions.
const (
	maxSessions    = 4096     // beyond it the least recently used one is evicted
	maxUnconfirmed = 64       // unconfirmed answers of one session
	maxAnswerBytes = 16 << 20 // bytes of answers of all sessions
)

// outcome is the result of applying a proposal.
type outcome uint8

const (
	outcomeApplied            outcome = iota // by this entry, or an earlier one with the same sequence number
	outcomeUnknownSession                    // never opened, or evicted; not applied
	outcomeConfirmed                         // the client has confirmed the answer; not applied again
	outcomeTooManyUnconfirmed                // the session has too many unconfirmed answers; not applied
)

func (o outcome) String() string {
	return [...]string{"applied", "session unknown", "confirmed", "too many unconfirmed"}[o]
}

// cachedAnswer is the answer to an applied proposal, kept for retries.
type cachedAnswer struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Answer []byte `cbor:"3,keyasint"`
}

type session struct {
	id        uint64
	confirmed uint64
	answers   map[uint64]cachedAnswer
}

// sessions holds the sessions in order of their last use, the least recently used first.
type sessions struct {
	byLastUse   *list.List // of *session
	byID        map[uint64]*list.Element
	answerBytes int // total size of the cached answers

	maxSessions, maxBytes int // bounds
}

func newSessions() *sessions {
	return &sessions{
		byLastUse: list.New(), byID: map[uint64]*list.Element{},
		maxSessions: maxSessions, maxBytes: maxAnswerBytes,
	}
}

func (s *sessions) open(id uint64) {
	s.byID[id] = s.byLastUse.PushBack(&session{id: id, answers: map[uint64]cachedAnswer{}})
	s.evict()
}

// applyOnce returns the answer to a proposal, and calls apply only if the proposal has not been
// applied before.
func (s *sessions) applyOnce(index uint64, a *sessionEntry, apply func() []byte) (cachedAnswer, outcome) {
	e := s.byID[a.Session]
	if e == nil {
		return cachedAnswer{}, outcomeUnknownSession
	}
	s.byLastUse.MoveToBack(e)
	sess := e.Value.(*session)
	s.confirm(sess, a.Confirmed)
	if h, ok := sess.answers[a.Seq]; ok {
		return h, outcomeApplied
	}
	if a.Seq <= sess.confirmed {
		return cachedAnswer{}, outcomeConfirmed
	}
	if len(sess.answers) >= maxUnconfirmed {
		return cachedAnswer{}, outcomeTooManyUnconfirmed
	}
	h := cachedAnswer{Seq: a.Seq, Index: index, Answer: apply()}
	sess.answers[a.Seq] = h
	s.answerBytes += len(h.Answer)
	s.evict()
	return h, outcomeApplied
}

// confirm deletes the answers up to a sequence number, which the client doesn't need any more.
func (s *sessions) confirm(sess *session, done uint64) {
	if done <= sess.confirmed {
		return
	}
	sess.confirmed = done
	for seq, h := range sess.answers {
		if seq <= done {
			s.answerBytes -= len(h.Answer)
			delete(sess.answers, seq)
		}
	}
}

// evict enforces the bounds. The most recently used session is always kept.
func (s *sessions) evict() {
	for s.byLastUse.Len() > 1 && (s.byLastUse.Len() > s.maxSessions || s.answerBytes > s.maxBytes) {
		sess := s.byLastUse.Remove(s.byLastUse.Front()).(*session)
		delete(s.byID, sess.id)
		for _, h := range sess.answers {
			s.answerBytes -= len(h.Answer)
		}
	}
}

// sessionImage is the encoded form of a session in a snapshot.
type sessionImage struct {
	ID        uint64         `cbor:"1,keyasint"`
	Confirmed uint64         `cbor:"2,keyasint"`
	Answers   []cachedAnswer `cbor:"3,keyasint"`
}

func (s *sessions) image() []sessionImage {
	images := make([]sessionImage, 0, s.byLastUse.Len())
	for e := s.byLastUse.Front(); e != nil; e = e.Next() {
		sess := e.Value.(*session)
		image := sessionImage{ID: sess.id, Confirmed: sess.confirmed}
		for _, seq := range slices.Sorted(maps.Keys(sess.answers)) {
			image.Answers = append(image.Answers, sess.answers[seq])
		}
		images = append(images, image)
	}
	return images
}

func (s *sessions) restore(images []sessionImage) {
	s.byLastUse.Init()
	clear(s.byID)
	s.answerBytes = 0
	for _, image := range images {
		sess := &session{id: image.ID, confirmed: image.Confirmed, answers: map[uint64]cachedAnswer{}}
		for _, h := range image.Answers {
			sess.answers[h.Seq] = h
			s.answerBytes += len(h.Answer)
		}
		s.byID[sess.id] = s.byLastUse.PushBack(sess)
	}
}

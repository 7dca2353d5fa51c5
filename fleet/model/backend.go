package model

import (
	"oxbowloft/logic"
	"time"
)

// backend serves one attempt per core at a time and queues further ones in order of arrival.
type backend struct {
	busy    int
	waiting []*event // attempts not yet in service
}

func (m *Model) arriveAtBackend(e *event) {
	b := &m.backends[e.backend]
	e.token = uint64(e.request.tries)
	if b.busy >= m.config.Cores {
		if len(b.waiting) >= m.config.QueueLimit {
			m.schedule(linkDelay, &event{kind: attemptAnswered, member: e.member, request: e.request, attempt: e.attempt, token: e.token, result: logic.Rejected})
			return
		}
		b.waiting = append(b.waiting, e)
		return
	}
	m.startService(e)
}

func (m *Model) startService(e *event) {
	m.backends[e.backend].busy++
	serviceTime := time.Duration(m.rng.ExpFloat64() * float64(m.config.Classes[e.request.class].Service))
	m.schedule(serviceTime, &event{kind: attemptServed, member: e.member, request: e.request, attempt: e.attempt, backend: e.backend, token: e.token})
}

func (m *Model) endService(e *event) {
	b := &m.backends[e.backend]
	b.busy--
	m.schedule(linkDelay, &event{kind: attemptAnswered, member: e.member, request: e.request, attempt: e.attempt, token: e.token, result: logic.OK})
	if len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		m.startService(next)
	}
}

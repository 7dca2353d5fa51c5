package model

import (
	"oxbowloft/logic"
	"time"
)

type backend struct {
	busy  int
	queue []*event // to be served, in order
}

// Backends.

func (m *Model) reach(e *event) {
	b := &m.backends[e.to]
	e.token = uint64(e.call.tries)
	if b.busy >= m.cfg.Cores {
		if len(b.queue) >= m.cfg.QueueLimit {
			m.after(link, &event{kind: answer, member: e.member, call: e.call, try: e.try, token: e.token, result: logic.Rejected})
			return
		}
		b.queue = append(b.queue, e)
		return
	}
	m.serve(e)
}

func (m *Model) serve(e *event) {
	m.backends[e.to].busy++
	service := time.Duration(m.rng.ExpFloat64() * float64(m.cfg.Classes[e.call.class].Service))
	m.after(service, &event{kind: callServed, member: e.member, call: e.call, try: e.try, to: e.to, token: e.token})
}

func (m *Model) served(e *event) {
	b := &m.backends[e.to]
	b.busy--
	m.after(link, &event{kind: answer, member: e.member, call: e.call, try: e.try, token: e.token, result: logic.OK})
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		m.serve(next)
	}
}

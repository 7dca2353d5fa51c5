package model

import (
	"cmp"
	"oxbowloft/fleet/overload"
	"oxbowloft/logic"
	"strconv"
	"time"
)

type member struct {
	m       *Model
	number  int
	name    string
	zone    string
	share   float64
	b       *logic.Balancer
	f       *overload.Fleet
	numbers overload.Numbers
	calls   map[string]*call
	count   overload.Counters
}

type send struct {
	id      string
	at      time.Duration
	backend int
	done    bool
	mayRun  bool
}

// The actions of a balancer.

func (p *member) Send(id, to string, patience time.Duration) {
	q := p.calls[id]
	n, _ := strconv.Atoi(to)
	if len(q.sends) > 0 && q.sends[len(q.sends)-1].mayRun {
		p.count.Repeats++
		p.m.res.Repeats[p.m.now/time.Second]++
	}
	q.sends = append(q.sends, send{id: id, at: p.m.now, backend: n})
	try := len(q.sends) - 1
	p.m.after(link, &event{kind: reach, member: p.number, call: q, try: try, to: n})
	p.m.after(patience, &event{kind: timeout, member: p.number, call: q, try: try, result: logic.TimedOut, token: uint64(q.tries)})
}

func (p *member) Refuse(id string, comeBack time.Duration) {
	q := p.calls[id]
	q.final = true
	p.drop(q)
	if q.tries == 1 {
		p.count.Refused[q.class]++
	}
	p.refused(q, comeBack)
}

func (p *member) Fail(id string) {
	q := p.calls[id]
	q.final = true
	p.drop(q)
	p.m.res.Refused++
}

func (p *member) drop(q *call) {
	for _, s := range q.sends {
		if !s.done {
			return
		}
	}
	delete(p.calls, q.id)
}

func (p *member) Cancel(string, int) {}

func (p *member) CloseIdle(string) {}

func (p *member) WatchList() {}

func (p *member) Wake(token uint64, after time.Duration) {
	p.m.after(after, &event{kind: wake, member: p.number, token: token})
}

// done takes an attempt's end: its answer or its time-out, whichever is first.
func (p *member) done(e *event) {
	m, q := p.m, e.call
	if m.cfg.Policy == Seeing {
		m.success(q)
		return
	}
	if e.token != uint64(q.tries) || e.try >= len(q.sends) || q.sends[e.try].done {
		return
	}
	s := &q.sends[e.try]
	s.done, s.mayRun = true, e.result != logic.Full
	latency := m.now - s.at
	ok := e.result == logic.OK && !q.final
	if e.result == logic.OK || e.result == logic.TimedOut {
		// The target is that of the balancer's own limit.
		const target = 0.25
		p.count.Answers++
		p.count.Strain += min(4, min(1, float64(latency)/float64(m.cfg.Classes[q.class].Aim))/target)
	}
	if ok {
		p.count.Served[q.class]++
		m.success(q)
		q.final = true
	}
	p.b.Done(m.now, logic.Outcome{Request: s.id, Attempt: e.try, Result: e.result, Latency: latency, Final: ok})
	if q.final {
		p.drop(q)
	}
}

// The fleet's part.

func (p *member) clear() {
	n := len(p.m.cfg.Classes)
	p.count = overload.Counters{First: make([]float64, n), Served: make([]float64, n), Refused: make([]float64, n)}
}

func (p *member) tell() {
	p.f.Own(p.m.now, p.count)
	p.clear()
	p.numbers = p.f.Numbers(p.m.now)
	p.m.res.Level[p.m.now/time.Second] += p.numbers.Cut[len(p.m.cfg.Classes)-1] / 2 / float64(len(p.m.members))
	if p.m.now < p.m.until {
		p.m.after(time.Second/2, &event{kind: tellOwn, member: p.number})
	}
}

func (p *member) gossip() {
	m := p.m
	b := p.f.Digest(m.now)
	m.res.Size = len(b)
	for range min(m.cfg.Fanout, len(m.members)-1) {
		to := m.net.IntN(len(m.members))
		lost := m.net.Float64() < m.cfg.Loss
		delay := link + time.Duration(m.net.ExpFloat64()*float64(m.cfg.Delay))
		m.res.Messages++
		if to == p.number || lost || max(to, p.number) >= len(m.members)-m.cfg.CutOff {
			continue
		}
		m.after(delay, &event{kind: digest, member: to, bytes: b})
	}
	if m.now < m.until {
		m.after(cmp.Or(m.cfg.Every, time.Second), &event{kind: gossip, member: p.number})
	}
}

package model

import (
	"cmp"
	"oxbowloft/fleet/overload"
	"oxbowloft/logic"
	"strconv"
	"time"
)

type member struct {
	model    *Model
	number   int
	name     string
	zone     string
	share    float64
	balancer *logic.Balancer
	fleet    *overload.Fleet
	numbers  overload.Controls
	calls    map[string]*clientCall
	counters overload.Counters
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
		p.counters.Retries++
		p.model.result.Repeats[p.model.now/time.Second]++
	}
	q.sends = append(q.sends, send{id: id, at: p.model.now, backend: n})
	try := len(q.sends) - 1
	p.model.after(link, &event{kind: callArrives, member: p.number, call: q, try: try, to: n})
	p.model.after(patience, &event{kind: timeout, member: p.number, call: q, try: try, result: logic.TimedOut, token: uint64(q.tries)})
}

func (p *member) Refuse(id string, comeBack time.Duration, _ logic.Cause) {
	q := p.calls[id]
	q.final = true
	p.drop(q)
	if q.tries == 1 {
		p.counters.Refused[q.class]++
	}
	p.refused(q, comeBack)
}

func (p *member) Fail(id string, _ logic.Cause) {
	q := p.calls[id]
	q.final = true
	p.drop(q)
	p.model.result.Refused++
}

func (p *member) drop(q *clientCall) {
	for _, s := range q.sends {
		if !s.done {
			return
		}
	}
	delete(p.calls, q.id)
}

func (p *member) Cancel(string, int) {}

func (p *member) CloseIdle(string) {}

func (p *member) StartTimer(token uint64, after time.Duration) {
	p.model.after(after, &event{kind: wake, member: p.number, token: token})
}

// attemptDone takes an attempt's end: its answer or its time-out, whichever is first.
func (p *member) attemptDone(e *event) {
	m, q := p.model, e.call
	if m.cfg.Policy == Seeing {
		m.success(q)
		return
	}
	if e.token != uint64(q.tries) || e.try >= len(q.sends) || q.sends[e.try].done {
		return
	}
	s := &q.sends[e.try]
	s.done, s.mayRun = true, e.result != logic.Rejected
	latency := m.now - s.at
	ok := e.result == logic.OK && !q.final
	if e.result == logic.OK || e.result == logic.TimedOut {
		// The target is that of the balancer's own limit.
		const target = 0.25
		p.counters.LatencySamples++
		p.counters.LatencyRatioSum += min(4, min(1, float64(latency)/float64(m.cfg.Classes[q.class].TargetLatency))/target)
	}
	if ok {
		p.counters.Served[q.class]++
		m.success(q)
		q.final = true
	}
	p.balancer.AttemptDone(m.now, logic.Outcome{Request: s.id, Attempt: e.try, Result: e.result, Latency: latency, Final: ok})
	if q.final {
		p.drop(q)
	}
}

// The fleet's part.

func (p *member) resetCounters() {
	n := len(p.model.cfg.Classes)
	p.counters = overload.Counters{FirstAttempts: make([]float64, n), Served: make([]float64, n), Refused: make([]float64, n)}
}

func (p *member) report() {
	p.fleet.AddCounters(p.model.now, p.counters)
	p.resetCounters()
	p.numbers = p.fleet.Controls(p.model.now)
	p.model.result.Level[p.model.now/time.Second] += p.numbers.ShedFraction[len(p.model.cfg.Classes)-1] / 2 / float64(len(p.model.members))
	if p.model.now < p.model.until {
		p.model.after(time.Second/2, &event{kind: report, member: p.number})
	}
}

func (p *member) gossip() {
	m := p.model
	b := p.fleet.NextDigest(m.now)
	m.result.Size = len(b)
	for range min(m.cfg.Fanout, len(m.members)-1) {
		to := m.netRNG.IntN(len(m.members))
		lost := m.netRNG.Float64() < m.cfg.Loss
		delay := link + time.Duration(m.netRNG.ExpFloat64()*float64(m.cfg.Delay))
		m.result.Messages++
		if to == p.number || lost || max(to, p.number) >= len(m.members)-m.cfg.CutOff {
			continue
		}
		m.after(delay, &event{kind: digest, member: to, bytes: b})
	}
	if m.now < m.until {
		m.after(cmp.Or(m.cfg.Every, time.Second), &event{kind: gossip, member: p.number})
	}
}

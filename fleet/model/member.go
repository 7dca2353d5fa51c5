package model

import (
	"cmp"
	"oxbowloft/fleet/overload"
	"oxbowloft/logic"
	"strconv"
	"time"
)

// member is a balancer with its view of the fleet and the counters since its last report.
type member struct {
	model        *Model
	index        int
	name         string
	zone         string
	trafficShare float64
	balancer     *logic.Balancer
	fleet        *overload.Fleet
	controls     overload.Controls
	tries        map[string]*clientRequest // by tryID, while the try or one of its attempts lasts
	counters     overload.Counters
}

// attempt is one attempt of a balancer at a backend.
type attempt struct {
	tryID      string
	sentAt     time.Duration
	backend    int
	ended      bool
	mayHaveRun bool // set once ended: the backend did not reject it
}

// The following methods implement logic.Actions.

func (p *member) Send(tryID, backendID string, timeout time.Duration) {
	request := p.tries[tryID]
	backend, _ := strconv.Atoi(backendID)
	if len(request.attempts) > 0 && request.attempts[len(request.attempts)-1].mayHaveRun {
		p.counters.Retries++
		p.model.result.Retries[p.model.now/time.Second]++
	}
	request.attempts = append(request.attempts, attempt{tryID: tryID, sentAt: p.model.now, backend: backend})
	number := len(request.attempts) - 1
	p.model.schedule(linkDelay, &event{kind: attemptArrives, member: p.index, request: request, attempt: number, backend: backend})
	p.model.schedule(timeout, &event{kind: attemptTimedOut, member: p.index, request: request, attempt: number, result: logic.TimedOut, token: uint64(request.tries)})
}

func (p *member) Refuse(tryID string, retryAfter time.Duration, _ logic.Cause) {
	request := p.tries[tryID]
	request.tryEnded = true
	p.forgetIfDone(request)
	if request.tries == 1 {
		p.counters.Refused[request.class]++
	}
	p.refuseTry(request, retryAfter)
}

func (p *member) Fail(tryID string, _ logic.Cause) {
	request := p.tries[tryID]
	request.tryEnded = true
	p.forgetIfDone(request)
	p.model.result.Unanswered++
}

// forgetIfDone forgets a try once all its attempts have ended.
func (p *member) forgetIfDone(request *clientRequest) {
	for _, attempt := range request.attempts {
		if !attempt.ended {
			return
		}
	}
	delete(p.tries, request.tryID)
}

func (p *member) Cancel(string, int) {}

func (p *member) CloseIdle(string) {}

func (p *member) StartTimer(token uint64, after time.Duration) {
	p.model.schedule(after, &event{kind: balancerTimer, member: p.index, token: token})
}

// attemptEnded handles the end of an attempt: its answer or its timeout, whichever comes first.
func (p *member) attemptEnded(e *event) {
	m, request := p.model, e.request
	if m.config.Policy == Oracle {
		m.recordSuccess(request)
		return
	}
	if e.token != uint64(request.tries) || e.attempt >= len(request.attempts) || request.attempts[e.attempt].ended {
		return
	}
	attempt := &request.attempts[e.attempt]
	attempt.ended, attempt.mayHaveRun = true, e.result != logic.Rejected
	latency := m.now - attempt.sentAt
	ok := e.result == logic.OK && !request.tryEnded
	if e.result == logic.OK || e.result == logic.TimedOut {
		// The target of the latency ratio, as in the balancer's concurrency limit.
		const target = 0.25
		p.counters.LatencySamples++
		p.counters.LatencyRatioSum += min(4, min(1, float64(latency)/float64(m.config.Classes[request.class].TargetLatency))/target)
	}
	if ok {
		p.counters.Served[request.class]++
		m.recordSuccess(request)
		request.tryEnded = true
	}
	p.balancer.AttemptDone(m.now, logic.Outcome{Request: attempt.tryID, Attempt: e.attempt, Result: e.result, Latency: latency, Final: ok})
	if request.tryEnded {
		p.forgetIfDone(request)
	}
}

func (p *member) resetCounters() {
	n := len(p.model.config.Classes)
	p.counters = overload.Counters{FirstAttempts: make([]float64, n), Served: make([]float64, n), Refused: make([]float64, n)}
}

func (p *member) reportCounters() {
	p.fleet.AddCounters(p.model.now, p.counters)
	p.resetCounters()
	p.controls = p.fleet.Controls(p.model.now)
	// Halved, as each member reports twice a second.
	p.model.result.ShedFraction[p.model.now/time.Second] += p.controls.ShedFraction[len(p.model.config.Classes)-1] / 2 / float64(len(p.model.members))
	if p.model.now < p.model.trafficEnd {
		p.model.schedule(time.Second/2, &event{kind: countersDue, member: p.index})
	}
}

func (p *member) sendDigests() {
	m := p.model
	digest := p.fleet.NextDigest(m.now)
	m.result.DigestBytes = len(digest)
	for range min(m.config.GossipFanout, len(m.members)-1) {
		receiver := m.gossipRNG.IntN(len(m.members))
		lost := m.gossipRNG.Float64() < m.config.DigestLoss
		delay := linkDelay + time.Duration(m.gossipRNG.ExpFloat64()*float64(m.config.DigestDelay))
		m.result.DigestsSent++
		if receiver == p.index || lost || max(receiver, p.index) >= len(m.members)-m.config.IsolatedMembers {
			continue
		}
		m.schedule(delay, &event{kind: digestArrives, member: receiver, digest: digest})
	}
	if m.now < m.trafficEnd {
		m.schedule(cmp.Or(m.config.GossipInterval, time.Second), &event{kind: digestDue, member: p.index})
	}
}

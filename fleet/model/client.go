package model

import (
	"oxbowloft/logic"
	"slices"
	"strconv"
	"time"
)

// clientRequest is a client's request over all its tries.
type clientRequest struct {
	key       uint64
	class     int
	firstSent time.Duration
	deadline  time.Duration
	tries     int // sent so far
	member    int
	answered  bool

	// State of the current try.
	tryID    string
	attempts []attempt
	tryEnded bool

	firstSecond int // of the first try; its index in the Result
}

// newRequest sends a new request's first try and schedules the next request.
func (m *Model) newRequest() {
	rate := m.clientRate(m.now)
	if rate == 0 {
		return
	}
	m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), &event{kind: firstTryArrives})
	pick, class := m.rng.Float64(), 0
	for class < len(m.config.Classes)-1 && pick >= m.config.Classes[class].Mix {
		pick -= m.config.Classes[class].Mix
		class++
	}
	c := &m.config.Classes[class]
	request := &clientRequest{key: m.rng.Uint64(), class: class, firstSent: m.now, deadline: m.now + c.Deadline,
		member: m.randomMember(), firstSecond: int(m.now / time.Second)}
	m.result.OfferedValue[request.firstSecond] += c.Value
	m.result.FirstTries[request.firstSecond]++
	m.sendTry(request)
}

func (m *Model) randomMember() int {
	index, _ := slices.BinarySearch(m.cumulativeShares, m.rng.Float64())
	return min(index, len(m.members)-1)
}

// sendTry sends a client's next try. Half of the retries, on average, go to a member that is drawn anew.
func (m *Model) sendTry(request *clientRequest) {
	if request.tries > 0 && m.rng.IntN(2) == 0 {
		request.member = m.randomMember()
	}
	request.tries++
	request.tryID, request.attempts, request.tryEnded = strconv.FormatUint(request.key, 36)+"."+strconv.Itoa(request.tries), nil, false
	member := m.members[request.member]
	if request.tries == 1 {
		member.counters.FirstAttempts[request.class]++
	}
	if m.config.Policy == Oracle {
		m.oracleAdmit(request)
		return
	}
	if member.controls.ShouldShed(request.class, request.key) {
		base := m.config.Classes[request.class].TargetLatency / 4
		member.refuseTry(request, member.controls.RetryAfter(request.key, base, 2*time.Second))
		return
	}
	member.tries[request.tryID] = request
	member.balancer.StartRequest(m.now, logic.Request{ID: request.tryID, Class: request.class, Budget: request.deadline - m.now, ClientRetry: request.tries > 1})
}

// refuseTry ends a try with a refusal. The client retries after retryAfter or, if it doesn't obey that,
// after 20 to 50 ms. It abandons the request if that was its last try or the deadline would have passed.
func (p *member) refuseTry(request *clientRequest, retryAfter time.Duration) {
	m := p.model
	wait := retryAfter
	if m.rng.Float64() >= m.config.ObeyRetryAfter {
		wait = time.Duration((20 + 30*m.rng.Float64()) * float64(time.Millisecond))
	}
	if request.tries >= m.config.MaxTries || m.now+wait >= request.deadline {
		m.result.Unanswered++
		return
	}
	m.schedule(wait, &event{kind: clientRetries, request: request})
}

// recordSuccess adds the value of a request's first answer: the whole up to the target latency, then less in
// proportion, down to 0 at the deadline.
func (m *Model) recordSuccess(request *clientRequest) {
	if request.answered {
		return
	}
	request.answered = true
	c, latency := &m.config.Classes[request.class], m.now-request.firstSent
	lateness := float64(latency-c.TargetLatency) / float64(c.Deadline-c.TargetLatency)
	m.result.ServedValue[request.firstSecond] += c.Value * max(0, min(1, 1-lateness))
}

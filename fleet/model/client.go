package model

import (
	"oxbowloft/logic"
	"slices"
	"strconv"
	"time"
)

// clientCall is one client's request over all its tries.
type clientCall struct {
	key      uint64
	class    int
	first    time.Duration
	deadline time.Duration
	tries    int
	member   int
	answered bool
	// of the current try
	id     string
	sends  []send
	final  bool
	second int
}

// nextClient brings a client's first try, and the next client.
func (m *Model) nextClient() {
	rate := m.offered(m.now)
	if rate == 0 {
		return
	}
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), &event{kind: clientArrives})
	pick, class := m.rng.Float64(), 0
	for class < len(m.cfg.Classes)-1 && pick >= m.cfg.Classes[class].Mix {
		pick -= m.cfg.Classes[class].Mix
		class++
	}
	c := &m.cfg.Classes[class]
	q := &clientCall{key: m.rng.Uint64(), class: class, first: m.now, deadline: m.now + c.Deadline,
		member: m.someMember(), second: int(m.now / time.Second)}
	m.result.Offered[q.second] += c.Value
	m.result.First[q.second]++
	m.nextTry(q)
}

func (m *Model) someMember() int {
	at, _ := slices.BinarySearch(m.cumulative, m.rng.Float64())
	return min(at, len(m.members)-1)
}

// nextTry makes a client's next try. Every second one of the later ones meets another member.
func (m *Model) nextTry(q *clientCall) {
	if q.tries > 0 && m.rng.IntN(2) == 0 {
		q.member = m.someMember()
	}
	q.tries++
	q.id, q.sends, q.final = strconv.FormatUint(q.key, 36)+"."+strconv.Itoa(q.tries), nil, false
	p := m.members[q.member]
	if q.tries == 1 {
		p.counters.FirstAttempts[q.class]++
	}
	if m.cfg.Policy == Seeing {
		m.decide(q)
		return
	}
	if p.numbers.ShouldShed(q.class, q.key) {
		base := m.cfg.Classes[q.class].TargetLatency / 4
		p.refused(q, p.numbers.RetryAfter(q.key, base, 2*time.Second))
		return
	}
	p.calls[q.id] = q
	p.balancer.StartRequest(m.now, logic.Request{ID: q.id, Class: q.class, Budget: q.deadline - m.now, ClientRetry: q.tries > 1})
}

// refused is what a client does on a refusal: some wait as they are told, the others a moment.
func (p *member) refused(q *clientCall, comeBack time.Duration) {
	m := p.model
	wait := comeBack
	if m.rng.Float64() >= m.cfg.Obey {
		wait = time.Duration((20 + 30*m.rng.Float64()) * float64(time.Millisecond))
	}
	if q.tries >= m.cfg.Tries || m.now+wait >= q.deadline {
		m.result.Refused++
		return
	}
	m.after(wait, &event{kind: again, call: q})
}

func (m *Model) success(q *clientCall) {
	if q.answered {
		return
	}
	q.answered = true
	c, took := &m.cfg.Classes[q.class], m.now-q.first
	late := float64(took-c.TargetLatency) / float64(c.Deadline-c.TargetLatency)
	m.result.Worth[q.second] += c.Value * max(0, min(1, 1-late))
}

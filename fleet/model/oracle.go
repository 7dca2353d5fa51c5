package model

import (
	"cmp"
	"slices"
	"time"
)

// decide is the policy that sees all: what fits the capacity, worthiest for its work first, by the true
// rates; to the backend with the least to do; and nothing that would come late.
func (m *Model) decide(q *clientCall) {
	if m.planned == nil || q.tries == 1 {
		m.plan()
	}
	place := float64(q.key>>11) / (1 << 53)
	c := &m.cfg.Classes[q.class]
	best := 0
	load := func(i int) int { return m.backends[i].busy + len(m.backends[i].queue) }
	for i := range m.backends {
		if load(i) < load(best) {
			best = i
		}
	}
	waits := max(0, load(best)+1-m.cfg.Cores)
	p := m.members[q.member]
	if place < m.planned[q.class] || time.Duration(waits)*30*time.Millisecond/time.Duration(m.cfg.Cores) > c.TargetLatency/2 {
		p.refused(q, c.TargetLatency/4)
		return
	}
	m.after(link, &event{kind: callArrives, member: q.member, call: q, to: best})
}

func (m *Model) plan() {
	m.planned = make([]float64, len(m.cfg.Classes))
	order := make([]int, len(m.cfg.Classes))
	for i := range order {
		order[i] = i
	}
	value := func(i int) float64 { return m.cfg.Classes[i].Value / m.cfg.Classes[i].Service.Seconds() }
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(value(j), value(i)) })
	room := m.cfg.PlannedUtilization * float64(m.cfg.Backends*m.cfg.Cores)
	for _, i := range order {
		need := m.offered(m.now) * m.cfg.Classes[i].Mix * m.cfg.Classes[i].Service.Seconds()
		if need > room {
			m.planned[i] = 1 - room/need
		}
		room = max(0, room-need)
	}
}

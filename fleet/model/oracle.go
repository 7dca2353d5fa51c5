package model

import (
	"cmp"
	"slices"
	"time"
)

// oracleAdmit is the policy Oracle. It admits what fits the capacity at the true rates, the classes with the
// highest value per work first, and sends it to the backend with the fewest attempts. It refuses a request
// that would wait there for more than half its target latency, at an assumed 30 ms per attempt in the queue.
func (m *Model) oracleAdmit(request *clientRequest) {
	if m.oracleCut == nil || request.tries == 1 {
		m.planOracleCut()
	}
	keyPosition := float64(request.key>>11) / (1 << 53)
	class := &m.config.Classes[request.class]
	best := 0
	load := func(i int) int { return m.backends[i].busy + len(m.backends[i].waiting) }
	for i := range m.backends {
		if load(i) < load(best) {
			best = i
		}
	}
	queueAhead := max(0, load(best)+1-m.config.Cores)
	member := m.members[request.member]
	if keyPosition < m.oracleCut[request.class] || time.Duration(queueAhead)*30*time.Millisecond/time.Duration(m.config.Cores) > class.TargetLatency/2 {
		member.refuseTry(request, class.TargetLatency/4)
		return
	}
	m.schedule(linkDelay, &event{kind: attemptArrives, member: request.member, request: request, backend: best})
}

// planOracleCut sets the share of each class to refuse so that the rest fits the capacity at the current
// rates.
func (m *Model) planOracleCut() {
	m.oracleCut = make([]float64, len(m.config.Classes))
	byValue := make([]int, len(m.config.Classes))
	for i := range byValue {
		byValue[i] = i
	}
	valuePerWork := func(i int) float64 { return m.config.Classes[i].Value / m.config.Classes[i].Service.Seconds() }
	slices.SortStableFunc(byValue, func(i, j int) int { return cmp.Compare(valuePerWork(j), valuePerWork(i)) })
	coresLeft := m.config.PlannedUtilization * float64(m.config.Backends*m.config.Cores)
	for _, i := range byValue {
		coresNeeded := m.clientRate(m.now) * m.config.Classes[i].Mix * m.config.Classes[i].Service.Seconds()
		if coresNeeded > coresLeft {
			m.oracleCut[i] = 1 - coresLeft/coresNeeded
		}
		coresLeft = max(0, coresLeft-coresNeeded)
	}
}

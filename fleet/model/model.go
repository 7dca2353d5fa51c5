// Package model simulates a fleet of balancers under overload in virtual time. Each member runs the real
// logic.Balancer and overload.Fleet. Traffic is uneven, backends have queues, clients retry, and digests are
// lost and delayed. The same Config gives exactly the same run.
//
// A client sends a request in one or more tries, each to a member. The member's balancer makes one or more
// attempts at backends for a try.
package model

import (
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"oxbowloft/fleet/overload"
	"oxbowloft/logic"
	"strconv"
	"time"
)

// Model is the state of a simulation run.
type Model struct {
	config           Config
	rng              *rand.Rand
	gossipRNG        *rand.Rand // separate: with all digests lost, a run equals one with Independent
	now              time.Duration
	lastSerial       uint64
	events           eventQueue
	members          []*member
	backends         []backend
	cumulativeShares []float64
	capacity         float64 // requests per second of the class mix
	trafficEnd       time.Duration
	result           Result
	traceHash        interface{ Write([]byte) (int, error) }
	traceSum         func() uint64
	oracleCut        []float64 // by class: share of the requests that the policy Oracle refuses
}

const linkDelay = time.Millisecond // one way, between members and backends and between members

// Run simulates cfg to its end.
func Run(cfg Config) Result {
	h := fnv.New64a()
	m := &Model{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), gossipRNG: rand.New(rand.NewPCG(cfg.Seed, 8)), traceHash: h, traceSum: h.Sum64}
	m.build()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(*event)
		m.now = e.at
		m.traceEvent(e)
		m.handleEvent(e)
	}
	m.result.TraceHash = m.traceSum()
	return m.result
}

func (m *Model) traceEvent(e *event) {
	var b [34]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.at))
	b[8], b[9] = byte(e.kind), byte(e.result)
	binary.LittleEndian.PutUint64(b[10:], uint64(e.member)<<32|uint64(uint32(e.backend)))
	if e.request != nil {
		binary.LittleEndian.PutUint64(b[18:], e.request.key)
	}
	binary.LittleEndian.PutUint64(b[26:], e.token)
	m.traceHash.Write(b[:])
	m.traceHash.Write(e.digest)
}

// build computes the capacity and length of the run, makes the members and schedules the first events.
func (m *Model) build() {
	cfg := &m.config
	mean := 0.0
	for _, c := range cfg.Classes {
		mean += c.Mix * c.Service.Seconds()
	}
	m.capacity = float64(cfg.Backends*cfg.Cores) / mean
	for _, s := range cfg.Phases {
		m.trafficEnd += s.Duration
	}
	seconds := int(m.trafficEnd/time.Second) + 1
	for _, series := range []*[]float64{&m.result.OfferedValue, &m.result.ServedValue, &m.result.Retries, &m.result.FirstTries, &m.result.ShedFraction} {
		*series = make([]float64, seconds+30)
	}
	m.backends = make([]backend, cfg.Backends)
	m.makeMembers()
	if cfg.Policy == Coordinated {
		m.startGossip()
	}
	m.schedule(0, &event{kind: firstTryArrives})
}

// makeMembers makes the members and draws their shares of the traffic, which sum to 1.
func (m *Model) makeMembers() {
	cfg := &m.config
	zones := make([]string, cfg.Zones)
	for i := range zones {
		zones[i] = "z" + strconv.Itoa(i)
	}
	backends := make([]logic.Backend, cfg.Backends)
	for i := range backends {
		backends[i] = logic.Backend{ID: strconv.Itoa(i), Zone: zones[i%cfg.Zones], Capacity: 1}
	}
	classes := make([]logic.Class, len(cfg.Classes))
	overloadClasses := make([]overload.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		classes[i], overloadClasses[i] = c.Class, overload.Class{Value: c.Value, Cost: c.Service.Seconds()}
	}
	memberView := make([]overload.Member, cfg.Members)
	for i := range memberView {
		memberView[i] = overload.Member{Name: "m" + strconv.Itoa(i), Zone: zones[i%cfg.Zones], Incarnation: 1}
	}
	total := 0.0
	for i, v := range memberView {
		p := &member{model: m, index: i, name: v.Name, zone: v.Zone, tries: map[string]*clientRequest{},
			controls: overload.Standalone(), trafficShare: math.Exp(cfg.TrafficSigma * m.rng.NormFloat64())}
		p.balancer = logic.New(0, logic.Settings{
			Seed: cfg.Seed*1000 + uint64(i), Zone: v.Zone, Zones: zones, Classes: classes,
			BalancerCount: cfg.Members, BalancerIndex: i, UnevenTraffic: cfg.UnevenTraffic, MaxAttempts: 3,
			MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second,
		}, p)
		p.balancer.UpdateList(0, true, backends)
		p.fleet, _ = overload.New(0, overload.Settings{Classes: overloadClasses, CompactDigests: cfg.CompactDigests}, v)
		p.fleet.SetMembers(0, cfg.Members, memberView)
		p.resetCounters()
		total += p.trafficShare
		m.members = append(m.members, p)
	}
	cumulative := 0.0
	for _, p := range m.members {
		p.trafficShare /= total
		cumulative += p.trafficShare
		m.cumulativeShares = append(m.cumulativeShares, cumulative)
	}
}

// startGossip schedules each member's first counter report and digest, each at a random time.
func (m *Model) startGossip() {
	for _, p := range m.members {
		m.schedule(time.Duration(m.gossipRNG.Float64()*float64(time.Second/2)), &event{kind: countersDue, member: p.index})
		m.schedule(time.Duration(m.gossipRNG.Float64()*float64(time.Second)), &event{kind: digestDue, member: p.index})
	}
}

// clientRate returns the rate of first tries, per second, at a time since the start of the run.
func (m *Model) clientRate(elapsed time.Duration) float64 {
	for _, s := range m.config.Phases {
		if elapsed < s.Duration {
			return s.Load * m.capacity
		}
		elapsed -= s.Duration
	}
	return 0
}

func (m *Model) handleEvent(e *event) {
	switch e.kind {
	case firstTryArrives:
		m.newRequest()
	case clientRetries:
		m.sendTry(e.request)
	case attemptArrives:
		m.arriveAtBackend(e)
	case attemptServed:
		m.endService(e)
	case attemptAnswered, attemptTimedOut:
		m.members[e.member].attemptEnded(e)
	case balancerTimer:
		m.members[e.member].balancer.TimerFired(m.now, e.token)
	case countersDue:
		m.members[e.member].reportCounters()
	case digestDue:
		m.members[e.member].sendDigests()
	case digestArrives:
		m.members[e.member].fleet.ReceiveDigest(m.now, e.digest)
	}
}

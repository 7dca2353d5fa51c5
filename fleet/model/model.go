// Package model plays a fleet of balancers under overload in virtual time: uneven traffic, the real
// logic.Balancer and overload.Fleet of each member, backends with queues, clients that ask again, and digests
// that get lost and come late. The same Config gives the same run to the byte.
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

// Model is a run under way.
type Model struct {
	cfg        Config
	rng        *rand.Rand
	netRNG     *rand.Rand // of the digests, apart: with all of them lost a run is that of balancers alone
	now        time.Duration
	serial     uint64
	queue      eventQueue
	members    []*member
	backends   []backend
	cumulative []float64
	capacity   float64 // calls a second of the mix
	until      time.Duration
	result     Result
	hash       interface{ Write([]byte) (int, error) }
	sum        func() uint64
	planned    []float64 // Seeing: cut by class now
}

const link = time.Millisecond

// Run plays cfg to its end.
func Run(cfg Config) Result {
	h := fnv.New64a()
	m := &Model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), netRNG: rand.New(rand.NewPCG(cfg.Seed, 8)), hash: h, sum: h.Sum64}
	m.build()
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(*event)
		m.now = e.at
		m.trace(e)
		m.handle(e)
	}
	m.result.Hash = m.sum()
	return m.result
}

func (m *Model) trace(e *event) {
	var b [34]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.at))
	b[8], b[9] = byte(e.kind), byte(e.result)
	binary.LittleEndian.PutUint64(b[10:], uint64(e.member)<<32|uint64(uint32(e.to)))
	if e.call != nil {
		binary.LittleEndian.PutUint64(b[18:], e.call.key)
	}
	binary.LittleEndian.PutUint64(b[26:], e.token)
	m.hash.Write(b[:])
	m.hash.Write(e.bytes)
}

// build sets up the run: its capacity and length, the members, and the first events.
func (m *Model) build() {
	cfg := &m.cfg
	mean := 0.0
	for _, c := range cfg.Classes {
		mean += c.Mix * c.Service.Seconds()
	}
	m.capacity = float64(cfg.Backends*cfg.Cores) / mean
	for _, s := range cfg.Spells {
		m.until += s.For
	}
	seconds := int(m.until/time.Second) + 1
	for _, to := range []*[]float64{&m.result.Offered, &m.result.Worth, &m.result.Repeats, &m.result.First, &m.result.Level} {
		*to = make([]float64, seconds+30)
	}
	m.backends = make([]backend, cfg.Backends)
	m.makeMembers()
	if cfg.Policy == Fleet {
		m.startGossip()
	}
	m.after(0, &event{kind: clientArrives})
}

// makeMembers makes the balancers and draws their shares of the traffic, which sum to 1.
func (m *Model) makeMembers() {
	cfg := &m.cfg
	zones := make([]string, cfg.Zones)
	for i := range zones {
		zones[i] = "z" + strconv.Itoa(i)
	}
	list := make([]logic.Backend, cfg.Backends)
	for i := range list {
		list[i] = logic.Backend{ID: strconv.Itoa(i), Zone: zones[i%cfg.Zones], Capacity: 1}
	}
	classes := make([]logic.Class, len(cfg.Classes))
	told := make([]overload.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		classes[i], told[i] = c.Class, overload.Class{Value: c.Value, Cost: c.Service.Seconds()}
	}
	view := make([]overload.Member, cfg.Members)
	for i := range view {
		view[i] = overload.Member{Name: "m" + strconv.Itoa(i), Zone: zones[i%cfg.Zones], Incarnation: 1}
	}
	total := 0.0
	for i, v := range view {
		p := &member{model: m, number: i, name: v.Name, zone: v.Zone, calls: map[string]*clientCall{},
			numbers: overload.Standalone(), share: math.Exp(cfg.Sigma * m.rng.NormFloat64())}
		p.balancer = logic.New(0, logic.Settings{
			Seed: cfg.Seed*1000 + uint64(i), Zone: v.Zone, Zones: zones, Classes: classes,
			BalancerCount: cfg.Members, BalancerIndex: i, UnevenTraffic: cfg.Uneven, MaxAttempts: 3,
			MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second,
		}, p)
		p.balancer.UpdateList(0, true, list)
		p.fleet, _ = overload.New(0, overload.Settings{Classes: told, CompactDigests: cfg.Compact}, v)
		p.fleet.SetMembers(0, cfg.Members, view)
		p.resetCounters()
		total += p.share
		m.members = append(m.members, p)
	}
	at := 0.0
	for _, p := range m.members {
		p.share /= total
		at += p.share
		m.cumulative = append(m.cumulative, at)
	}
}

// startGossip starts each member's reports and digests, at a random time each.
func (m *Model) startGossip() {
	for _, p := range m.members {
		m.after(time.Duration(m.netRNG.Float64()*float64(time.Second/2)), &event{kind: report, member: p.number})
		m.after(time.Duration(m.netRNG.Float64()*float64(time.Second)), &event{kind: gossip, member: p.number})
	}
}

// offered is the rate of first tries now, a second.
func (m *Model) offered(at time.Duration) float64 {
	for _, s := range m.cfg.Spells {
		if at < s.For {
			return s.Offered * m.capacity
		}
		at -= s.For
	}
	return 0
}

func (m *Model) handle(e *event) {
	switch e.kind {
	case clientArrives:
		m.nextClient()
	case again:
		m.nextTry(e.call)
	case callArrives:
		m.reach(e)
	case callServed:
		m.served(e)
	case answer, timeout:
		m.members[e.member].attemptDone(e)
	case wake:
		m.members[e.member].balancer.TimerFired(m.now, e.token)
	case report:
		m.members[e.member].report()
	case gossip:
		m.members[e.member].gossip()
	case digest:
		m.members[e.member].fleet.ReceiveDigest(m.now, e.bytes)
	}
}

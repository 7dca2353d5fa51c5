package member

import (
	mrand "math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// rejoin asks the seeds, at the start and whenever one is not among the members, and some
// of the dead: after a partition longer than memberlist tells the dead that they are, nothing
// else would bring the sides together.
func (n *Node) rejoin(now clockTime) {
	phase := n.roster.Phase()
	if n.joinRunning || now < n.nextJoin || phase > Serving {
		return
	}
	targets := n.joinTargets()
	if len(targets) == 0 {
		n.rejoinBackoff = n.cfg.RejoinMin
		n.nextJoin = now + n.cfg.RejoinMin
		n.roster.JoinFinished(now)
		return
	}
	n.nextJoin = now + time.Duration((0.5+mrand.Float64())*float64(n.rejoinBackoff))
	n.rejoinBackoff = min(2*n.rejoinBackoff, n.cfg.RejoinMax)
	n.joinRunning = true
	n.tasks.Go(func() { n.joinAll(targets) })
}

// joinAll asks all targets at once and posts to the inbox how many were reached.
func (n *Node) joinAll(targets []string) {
	var each sync.WaitGroup
	var reached atomic.Int32
	for _, addr := range targets {
		each.Go(func() {
			if _, err := n.list.Join([]string{addr}); err == nil { // it logs an error itself
				reached.Add(1)
			}
		})
	}
	each.Wait()
	// The node must learn that this is over.
	select {
	case n.inbox <- joinDone{int(reached.Load())}:
	case <-n.stop:
	}
}

// joinTargets returns the seeds that are not among the members and some of the dead.
func (n *Node) joinTargets() []string {
	known := map[string]bool{n.roster.Self().Addr: true}
	members := n.view.Load().members
	for _, m := range members {
		known[m.Addr] = true
	}
	var out []string
	for _, addr := range n.cfg.Join {
		_, err := netip.ParseAddrPort(addr)
		isHostname := err != nil // a host's name can't be told from the addresses of members
		if !known[addr] && (!isHostname || len(members) == 1) {
			out = append(out, addr)
		}
	}
	var dead []string
	for _, rec := range n.roster.Departed() {
		if rec.State == stateDead && rec.Addr != "" && !known[rec.Addr] && !slices.Contains(out, rec.Addr) {
			dead = append(dead, rec.Addr)
		}
	}
	mrand.Shuffle(len(dead), func(i, j int) { dead[i], dead[j] = dead[j], dead[i] })
	return append(out, dead[:min(maxDeadPerJoin, len(dead))]...)
}

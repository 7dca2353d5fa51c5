package member

import (
	mrand "math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// rejoin contacts the seeds, at startup and whenever one is not among the members, and some of the
// dead members. After a partition longer than Config.GossipToDeadTime nothing else would bring the
// two sides together.
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

// joinAll contacts all targets concurrently and posts to the inbox how many were reached.
func (n *Node) joinAll(targets []string) {
	var each sync.WaitGroup
	var reached atomic.Int32
	for _, addr := range targets {
		each.Go(func() {
			if _, err := n.list.Join([]string{addr}); err == nil { // memberlist logs the error itself
				reached.Add(1)
			}
		})
	}
	each.Wait()
	// This must not be dropped when the inbox is full: without it the node never joins again.
	select {
	case n.inbox <- joinDone{int(reached.Load())}:
	case <-n.stop:
	}
}

// joinTargets returns the seeds that are not among the members and some dead members.
func (n *Node) joinTargets() []string {
	known := map[string]bool{n.roster.Self().Addr: true}
	members := n.view.Load().members
	for _, m := range members {
		known[m.Addr] = true
	}
	var out []string
	for _, addr := range n.cfg.Join {
		_, err := netip.ParseAddrPort(addr)
		isHostname := err != nil // a host name can't be matched to members' IP addresses
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

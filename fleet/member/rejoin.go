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
func (n *Node) rejoin(now Time) {
	phase := n.roster.Phase()
	if n.joining || now < n.joinAt || phase > Serving {
		return
	}
	targets := n.missing()
	if len(targets) == 0 {
		n.backoff = n.cfg.RejoinMin
		n.joinAt = now + n.cfg.RejoinMin
		n.roster.Settled(now)
		return
	}
	n.joinAt = now + time.Duration((0.5+mrand.Float64())*float64(n.backoff))
	n.backoff = min(2*n.backoff, n.cfg.RejoinMax)
	n.joining = true
	n.work.Go(func() {
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
		case n.inbox <- joined{int(reached.Load())}:
		case <-n.stop:
		}
	})
}

func (n *Node) missing() []string {
	here := map[string]bool{n.roster.Self().Addr: true}
	members := n.view.Load().members
	for _, m := range members {
		here[m.Addr] = true
	}
	var out []string
	for _, addr := range n.cfg.Join {
		_, err := netip.ParseAddrPort(addr)
		named := err != nil // a host's name can't be told from the addresses of members
		if !here[addr] && (!named || len(members) == 1) {
			out = append(out, addr)
		}
	}
	var dead []string
	for _, rec := range n.roster.Departed() {
		if rec.State == Dead && rec.Addr != "" && !here[rec.Addr] && !slices.Contains(out, rec.Addr) {
			dead = append(dead, rec.Addr)
		}
	}
	mrand.Shuffle(len(dead), func(i, j int) { dead[i], dead[j] = dead[j], dead[i] })
	return append(out, dead[:min(deadTries, len(dead))]...)
}

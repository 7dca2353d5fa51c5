package member

import (
	"context"
	"log/slog"
	"time"
)

// actions is how the Roster's decisions reach the rest.
type actions Node

// Happened implements Actions.
func (a *actions) Happened(e Event) {
	level := slog.LevelInfo
	if e.Kind == Displaced || e.Kind == Resumed {
		level = slog.LevelWarn
	}
	a.log.Log(context.Background(), level, "fleet", "event", "member_"+e.Kind.String(), "name", e.Member.Name,
		"incarnation", e.Member.Incarnation, "zone", e.Member.Zone, "addr", e.Member.Addr)
	a.pending = append(a.pending, e)
	a.changed = true
}

// Announce implements Actions.
func (a *actions) Announce(self Member) {
	n := (*Node)(a)
	n.changed = true
	left := n.roster.Phase() == Leaving
	n.say(self, left)
	if left {
		return // Leave waits for it to go out
	}
	n.log.Info("fleet", "event", "member_incarnation", "incarnation", self.Incarnation)
	n.updating.Lock()
	defer n.updating.Unlock()
	n.list.UpdateNode(time.Millisecond) // it goes out later; there is nothing to wait for
}

// StepAside implements Actions: others are told that this life has left, and it is silent
// from then on. Memberlist's own farewell would hit the winner, which has the same name.
func (a *actions) StepAside(Member) {
	n := (*Node)(a)
	n.changed = true
	n.say(n.roster.Self(), true)
	n.work.Go(func() {
		n.updating.Lock()
		defer n.updating.Unlock()
		n.list.UpdateNode(5 * n.cfg.GossipInterval)
		n.down = true
		n.list.Shutdown()
	})
}

// Tell implements Actions.
func (a *actions) Tell(to Member, about Record) {
	n := (*Node)(a)
	l := lifeOf(n.now(), about)
	self := n.roster.Self()
	n.write(to, message{
		Kind:        kindTold,
		From:        self.Name,
		Incarnation: self.Incarnation,
		Life:        self.Life,
		About:       &l,
	})
}

// say sets what others hear of this node.
func (n *Node) say(self Member, leaving bool) {
	buf, err := encode(meta{
		Incarnation: self.Incarnation,
		Life:        self.Life,
		Zone:        self.Zone,
		Version:     self.Version,
		Leaving:     leaving,
	})
	if err == nil {
		n.delegate.say(buf, nil)
	}
}

// remember renews what a full exchange carries. Ages in it are as of now: they may go out
// up to memoryEvery too young, which keeps a departed life in memory that much longer.
func (n *Node) remember(now Time) {
	n.memoryAt = now + memoryEvery
	m := memory{From: n.cfg.Name}
	for _, rec := range n.roster.Departed() {
		m.Records = append(m.Records, lifeOf(now, rec))
	}
	if buf, err := encode(m); err == nil {
		n.delegate.say(nil, buf)
	}
}

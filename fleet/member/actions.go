package member

import (
	"context"
	"log/slog"
	"time"
)

// nodeActions carries out what the roster decides, in the goroutine of run.
type nodeActions Node

// Happened implements rosterActions: the event is logged, and sent by the next flush.
func (a *nodeActions) EmitEvent(e Event) {
	level := slog.LevelInfo
	if e.Kind == Displaced || e.Kind == Resumed {
		level = slog.LevelWarn
	}
	a.log.Log(context.Background(), level, "fleet", "event", "member_"+e.Kind.String(), "name", e.Member.Name,
		"incarnation", e.Member.Incarnation, "zone", e.Member.Zone, "addr", e.Member.Addr)
	a.pending = append(a.pending, e)
	a.viewChanged = true
}

// Announce implements rosterActions: memberlist gossips this node with its new meta.
func (a *nodeActions) Announce(self Member) {
	n := (*Node)(a)
	n.viewChanged = true
	left := n.roster.Phase() == Leaving
	n.publishMeta(self, left)
	if left {
		return // Leave waits for it to go out
	}
	n.log.Info("fleet", "event", "member_incarnation", "incarnation", self.Incarnation)
	n.listMu.Lock()
	defer n.listMu.Unlock()
	n.list.UpdateNode(time.Millisecond) // it goes out later; there is nothing to wait for
}

// StepAside implements rosterActions: others are told that this life has left, and it is silent
// from then on. Memberlist's own farewell would hit the winner, which has the same name.
func (a *nodeActions) Withdraw(Member) {
	n := (*Node)(a)
	n.viewChanged = true
	n.publishMeta(n.roster.Self(), true)
	n.tasks.Go(func() {
		n.listMu.Lock()
		defer n.listMu.Unlock()
		n.list.UpdateNode(5 * n.cfg.GossipInterval)
		n.listShutdown = true
		n.list.Shutdown()
	})
}

// Tell implements rosterActions: one datagram, which may be lost.
func (a *nodeActions) SendRecord(to Member, about memberRecord) {
	n := (*Node)(a)
	record := toWireRecord(n.now(), about)
	self := n.roster.Self()
	n.sendMessage(to, message{
		Kind:        kindNotice,
		From:        self.Name,
		Incarnation: self.Incarnation,
		RunID:       self.RunID,
		About:       &record,
	})
}

// publishMeta sets what memberlist gossips of this node.
func (n *Node) publishMeta(self Member, leaving bool) {
	buf, err := encode(meta{
		Incarnation: self.Incarnation,
		RunID:       self.RunID,
		Zone:        self.Zone,
		Version:     self.Version,
		Leaving:     leaving,
	})
	if err == nil {
		n.delegate.setShared(buf, nil)
	}
}

// publishMemory renews what a full exchange carries. Ages in it are as of now: they may go out
// up to memoryInterval too young, which keeps a departed life in memory that much longer.
func (n *Node) publishDeparted(now clockTime) {
	n.nextDepartedPublish = now + departedPublishInterval
	m := departedState{From: n.cfg.Name}
	for _, rec := range n.roster.Departed() {
		m.Records = append(m.Records, toWireRecord(now, rec))
	}
	if buf, err := encode(m); err == nil {
		n.delegate.setShared(nil, buf)
	}
}

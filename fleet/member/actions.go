package member

import (
	"context"
	"log/slog"
	"time"
)

// nodeActions carries out the roster's decisions. Its methods run on the goroutine of Node.run.
type nodeActions Node

// EmitEvent implements rosterActions. It logs the event and queues it for the next flush.
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

// Announce implements rosterActions. memberlist gossips this node with its new metadata.
func (a *nodeActions) Announce(self Member) {
	n := (*Node)(a)
	n.viewChanged = true
	left := n.roster.Phase() == Leaving
	n.publishMeta(self, left)
	if left {
		return // Leave waits until the update has been sent
	}
	n.log.Info("fleet", "event", "member_incarnation", "incarnation", self.Incarnation)
	n.listMu.Lock()
	defer n.listMu.Unlock()
	n.list.UpdateNode(time.Millisecond) // gossiped asynchronously; no need to wait for the broadcast
}

// Withdraw implements rosterActions. It announces that this process run has left and then shuts
// memberlist down. memberlist's own Leave can't be used: it identifies members by name alone and
// would remove the winner, which has the same name.
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

// SendRecord implements rosterActions. It sends one datagram, which may be lost.
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

// publishMeta sets the metadata that memberlist gossips about this node.
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

// publishDeparted updates the departed members that a full exchange carries. Their ages are computed
// now and may be sent up to departedPublishInterval later, so that receivers keep a departed member
// for up to that much longer.
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

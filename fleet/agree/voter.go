package agree

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// phase is the stage of a voter's life cycle.
type phase uint8

const (
	phaseForming phase = iota // waits until all voters of the initial set have been reached
	phaseRunning              // participates in raft
	phaseStopped              // has stopped
)

func (p phase) String() string { return [...]string{"forming", "running", "over"}[p] }

// Voter is one replica: it runs raft on its store and applies committed entries to its Machine.
// One goroutine takes proposals from a bounded queue and hands them to raft. The methods may be
// called from any goroutine.
type Voter struct {
	cfg        Config
	log        *slog.Logger
	raftLogger hclog.Logger
	store      *logStore
	snapshots  *raft.FileSnapshotStore
	fsm        *fsm
	identity   hello // sent to other voters during formation

	proposals chan *proposal
	pending   chan pending  // handed to raft, in this order
	stop      chan bool     // the value: whether to transfer leadership first
	raftDown  chan struct{} // closed once raft has shut down
	done      chan struct{}
	stopOnce  sync.Once

	mu        sync.Mutex
	phase     phase
	raft      *raft.Raft
	transport *raft.NetworkTransport
	err       error // why it stopped by itself
}

// Start opens the store in cfg.Dir and starts the voter. It returns an error if cfg is invalid
// (see Config.Check), if the store is truncated, corrupt, in use by another process or belongs
// to another voter, or if a voter that has formed can't listen on cfg.Bind.
//
// A voter with an empty store does not vote at once: it can't distinguish a first start from
// the loss of a store with votes and acknowledged entries. See form.
func Start(cfg Config, m Machine, log *slog.Logger) (_ *Voter, err error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	store := cfg.store
	if store == nil {
		if store, err = openStore(cfg.Dir); err != nil {
			return nil, err
		}
	}
	v := &Voter{
		cfg: cfg, log: log.With("voter", cfg.Name), store: store, fsm: newFSM(m),
		proposals: make(chan *proposal, cfg.MaxPending), pending: make(chan pending, cfg.MaxPending),
		stop: make(chan bool, 1), raftDown: make(chan struct{}), done: make(chan struct{}),
	}
	v.raftLogger = newRaftLogger(v.log)
	if err := v.prepare(); err != nil {
		store.Close()
		return nil, err
	}
	go v.run()
	return v, nil
}

// prepare loads the identity, checks the snapshots, and starts raft if this voter has formed.
func (v *Voter) prepare() (err error) {
	if v.identity, err = v.store.loadIdentity(&v.cfg); err != nil {
		return err
	}
	if v.snapshots, err = openSnapshots(v.cfg.Dir, v.store, v.raftLogger); err != nil {
		return err
	}
	if v.identity.Incarnations == nil && v.cfg.Join {
		if err := v.store.saveFormed(&v.identity, map[string]uint64{}); err != nil {
			return err
		}
	}
	if v.identity.Incarnations != nil {
		return v.startRaft()
	}
	return nil
}

// run forms the cluster if necessary, serves proposals until the voter stops, and cleans up.
func (v *Voter) run() {
	err := v.form()
	if err == nil {
		collected := make(chan struct{})
		go v.deliverResults(collected)
		err = v.serve()
		v.shutDownRaft()
		close(v.raftDown)
		close(v.pending)
		<-collected
	}
	if errors.Is(err, errStopped) {
		err = nil
	}
	v.store.Close()
	v.mu.Lock()
	v.phase, v.err = phaseStopped, err
	v.mu.Unlock()
	close(v.done)
	v.rejectQueued()
	if err != nil {
		v.log.Error("ended", "err", err)
	}
}

// rejectQueued answers the proposals left in the queue with ErrShutdown.
func (v *Voter) rejectQueued() {
	for {
		select {
		case p := <-v.proposals:
			p.reply <- result{err: ErrShutdown}
		default:
			return
		}
	}
}

// serve hands proposals and ticks to raft until Stop is called, the store or the state machine
// fails, or raft shuts down because this voter was removed.
func (v *Voter) serve() error {
	var ticks <-chan time.Time
	if v.cfg.NewTick != nil {
		t := time.NewTicker(v.cfg.TickInterval)
		defer t.Stop()
		ticks = t.C
	}
	health := time.NewTicker(v.cfg.HeartbeatTimeout)
	defer health.Stop()
	clock := leaderClock{newTick: v.cfg.NewTick}
	for {
		select {
		case p := <-v.proposals:
			if err := v.submit(p); err != nil {
				return err
			}
		case <-ticks:
			if data := clock.tick(v.raft, time.Now()); data != nil {
				if err := v.enqueue(pending{nil, v.raft.Apply(data, v.cfg.HeartbeatTimeout)}); err != nil {
					return err
				}
			}
		case <-health.C:
			if v.raft.State() == raft.Shutdown { // raft shuts a removed leader down
				return errRemoved
			}
		case err := <-v.store.Failed():
			return err
		case err := <-v.fsm.failures:
			return err
		case transfer := <-v.stop:
			if transfer && v.raft.State() == raft.Leader {
				v.transferLeadership()
			}
			return nil
		}
	}
}

// errRemoved stops a leader that was removed from the set of voters.
var errRemoved = errors.New("agree: removed from the set of voters")

// transferLeadership transfers the leadership to another voter, within five heartbeat timeouts.
func (v *Voter) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*v.cfg.HeartbeatTimeout)
	defer cancel()
	if err := awaitFuture(v.raft.LeadershipTransfer(), ctx.Done()); err != nil {
		v.log.Warn("leadership not handed over", "err", err)
	}
}

func (v *Voter) shutDownRaft() {
	if err := v.raft.Shutdown().Error(); err != nil {
		v.log.Warn("shutdown", "err", err)
	}
	v.transport.Close()
}

// notLeaderError returns an error with the leader's address, if that is known.
func (v *Voter) notLeaderError() error {
	e := &notLeaderError{}
	if r := v.activeRaft(); r != nil {
		_, id := r.LeaderWithID()
		for _, p := range v.cfg.InitialVoters {
			if p.Name == string(id) && p.Name != v.cfg.Name {
				e.Leader = p.ClientAddress
			}
		}
	}
	return e
}

// activeRaft returns the raft instance, or nil if the voter is not running.
func (v *Voter) activeRaft() *raft.Raft {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.phase != phaseRunning {
		return nil
	}
	return v.raft
}

// hasLeader reports whether this voter leads or has heard from the leader within three heartbeat
// timeouts.
func (v *Voter) hasLeader() bool {
	r := v.activeRaft()
	return r != nil && (r.State() == raft.Leader || time.Since(r.LastContact()) < 3*v.cfg.HeartbeatTimeout)
}

// leading reports whether this voter believes that it is the leader.
func (v *Voter) leading() bool {
	r := v.activeRaft()
	return r != nil && r.State() == raft.Leader
}

// Stop stops the voter and waits until it has stopped. If transfer is true and the voter leads,
// it first tries to transfer its leadership, for at most five heartbeat timeouts. Stop returns
// the error for which the voter had stopped by itself; nil if it had not.
func (v *Voter) Stop(transfer bool) error {
	v.stopOnce.Do(func() { v.stop <- transfer })
	<-v.done
	return v.exitError()
}

// Done returns a channel that is closed when the voter has stopped. Stop returns the reason.
func (v *Voter) Done() <-chan struct{} { return v.done }

// exitError returns why the voter stopped by itself; nil if it is running or Stop was called.
func (v *Voter) exitError() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.err
}

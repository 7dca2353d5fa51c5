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

// phase is what a voter is doing.
type phase uint8

const (
	phaseForming phase = iota // waits until all of the initial set are seen for the first time
	phaseRunning              // takes part
	phaseStopped              // has ended
)

func (p phase) String() string { return [...]string{"forming", "running", "over"}[p] }

// Voter is one replica of the agreed state: it runs raft on its store and applies what is
// committed to its Machine. It is one task with one bounded inbox. Its methods may be called
// from any goroutine.
type Voter struct {
	cfg      Config
	log      *slog.Logger
	hclog    hclog.Logger
	store    *logStore
	snaps    *raft.FileSnapshotStore
	fsm      *fsm
	identity hello // what it tells of itself while forming

	inbox    chan *proposal
	pending  chan pending  // handed to raft, in order
	stop     chan bool     // whether to hand leadership over first
	raftDown chan struct{} // closed once raft is shut down
	done     chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	phase phase
	raft  *raft.Raft
	trans *raft.NetworkTransport
	err   error // why it ended
}

// Start opens the store in cfg.Dir and starts the voter. It returns an error if cfg is not
// valid (see Config.Check), if the store is torn, corrupt, in use by another process or
// another voter's, or, of a voter that has formed, if cfg.Bind can't be listened on.
//
// A voter whose store is empty does not vote at once, for it can't tell whether
// it is new or has lost what it promised. See form.
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
		inbox: make(chan *proposal, cfg.MaxPending), pending: make(chan pending, cfg.MaxPending),
		stop: make(chan bool, 1), raftDown: make(chan struct{}), done: make(chan struct{}),
	}
	v.hclog = newRaftLogger(v.log)
	if err := v.prepare(); err != nil {
		store.Close()
		return nil, err
	}
	go v.run()
	return v, nil
}

// prepare checks what is on disk, and starts raft if this voter has formed.
func (v *Voter) prepare() (err error) {
	if v.identity, err = v.store.loadIdentity(&v.cfg); err != nil {
		return err
	}
	if v.snaps, err = openSnapshots(v.cfg.Dir, v.store, v.hclog); err != nil {
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

// run is the voter's task.
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
	v.mu.Lock()
	v.phase, v.err = phaseStopped, err
	v.mu.Unlock()
	close(v.done)
	v.rejectQueued()
	v.store.Close()
	if err != nil {
		v.log.Error("ended", "err", err)
	}
}

// refuseRest answers what has come into the inbox by the end.
func (v *Voter) rejectQueued() {
	for {
		select {
		case p := <-v.inbox:
			p.reply <- result{err: ErrShutdown}
		default:
			return
		}
	}
}

// serve hands proposals to raft until it is told to stop or the store fails.
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
		case p := <-v.inbox:
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
			if v.raft.State() == raft.Shutdown { // by itself
				return errRemoved
			}
		case err := <-v.store.Failed():
			return err
		case err := <-v.fsm.failures:
			return err
		case hand := <-v.stop:
			if hand && v.raft.State() == raft.Leader {
				v.transferLeadership()
			}
			return nil
		}
	}
}

// errRemoved ends a leader that has taken itself out of the set.
var errRemoved = errors.New("agree: removed from the set of voters")

// handOver transfers the leadership to another voter, if that succeeds in time.
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
	v.trans.Close()
}

// notLeader says where the leader is.
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

// running is raft, or nil while it doesn't take part.
func (v *Voter) activeRaft() *raft.Raft {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.phase != phaseRunning {
		return nil
	}
	return v.raft
}

// inTouch tells whether this voter leads or has lately heard from who does.
func (v *Voter) hasLeader() bool {
	r := v.activeRaft()
	return r != nil && (r.State() == raft.Leader || time.Since(r.LastContact()) < 3*v.cfg.HeartbeatTimeout)
}

// leading tells whether this voter believes that it leads.
func (v *Voter) leading() bool {
	r := v.activeRaft()
	return r != nil && r.State() == raft.Leader
}

// Stop ends the voter and waits until it has. If handOver is true and it leads, it first
// transfers its leadership, for five heartbeats at most. Stop returns the error for which the
// voter had ended by itself before; nil if it had not.
func (v *Voter) Stop(handOver bool) error {
	v.stopOnce.Do(func() { v.stop <- handOver })
	<-v.done
	return v.exitError()
}

// Over is closed when the voter has ended. Stop returns why.
func (v *Voter) Done() <-chan struct{} { return v.done }

// cause is why the voter ended by itself; nil if it was stopped or has not ended.
func (v *Voter) exitError() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.err
}

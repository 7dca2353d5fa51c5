package agree

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// proposalKind is how a proposal is handed to raft and what its result is.
type proposalKind uint8

const (
	proposeCommand proposalKind = iota // appended to the log; the result is the machine's answer
	proposeRead                        // a barrier, then a query of the machine
	proposeChange                      // of the set of voters; the result is empty
)

func (k proposalKind) String() string { return [...]string{"command", "read", "change"}[k] }

// proposal is a message to the voter's task.
type proposal struct {
	kind   proposalKind
	ctx    context.Context
	data   []byte                       // of a command, or the query of a read
	change func(*raft.Raft) raft.Future // proposeChange: asks raft for it
	reply  chan result                  // room for one
}

// result is what became of a proposal. With an error the other fields are empty.
type result struct {
	answer []byte
	index  uint64
	err    error
}

// pending is a proposal or a tick that raft has been handed.
type pending struct {
	proposal *proposal // nil: a tick
	future   raft.Future
}

// openSession opens a session for asks. Its name is the index of the entry that did.
// After ErrUnknown it may just be opened again: what is not used is forgotten.
func (v *Voter) openSession(ctx context.Context) (session uint64, err error) {
	_, session, err = v.await(&proposal{kind: proposeCommand, ctx: ctx, data: (&command{kind: kindOpenSession}).encode()})
	return session, err
}

// propose asks that an entry be agreed, and returns the machine's answer and the
// index at which it was applied. An ask with the session and sequence of one that
// was applied before gets the answer and index of that time.
//
// The errors that say that this try is not and will not be applied are
// *notLeaderError, *busyError, ErrShutdown, ErrSession, ErrStale, ErrCrowded and
// ErrTooLong. ErrUnknown says that it may have been or may yet be.
func (v *Voter) propose(ctx context.Context, a sessionEntry) (answer []byte, index uint64, err error) {
	if len(a.Data) > MaxEntry {
		return nil, 0, ErrTooLong
	}
	if a.Seq == 0 {
		return nil, 0, ErrConfirmed
	}
	return v.await(&proposal{kind: proposeCommand, ctx: ctx, data: (&command{kind: kindPropose, entry: a}).encode()})
}

// read asks the machine, which is a Querier, and returns its answer with the
// index up to which it had applied. The answer holds all that was agreed before
// read was called.
//
// It appends a barrier to the log. Raft's VerifyLeader, which only waits for
// heartbeats, would do without, but takes answers to those that were under way
// before: a leader resumed after a stop could be confirmed by one from before it.
func (v *Voter) read(ctx context.Context, query []byte) (answer []byte, index uint64, err error) {
	if len(query) > MaxEntry {
		return nil, 0, ErrTooLong
	}
	return v.await(&proposal{kind: proposeRead, ctx: ctx, data: query})
}

// addVoter makes the voter name at address one of the set, at once: it counts for
// majorities while it is still being sent the log. It has been started with
// Config.Join.
func (v *Voter) addVoter(ctx context.Context, name, address string) error {
	if name == "" || address == "" {
		return errors.New("agree: add: name or address empty")
	}
	_, _, err := v.await(&proposal{kind: proposeChange, ctx: ctx, change: func(r *raft.Raft) raft.Future {
		return r.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, v.cfg.HeartbeatTimeout)
	}})
	return err
}

// removeVoter takes the voter name out of the set for good: it must not come back by
// this name.
func (v *Voter) removeVoter(ctx context.Context, name string) error {
	_, _, err := v.await(&proposal{kind: proposeChange, ctx: ctx, change: func(r *raft.Raft) raft.Future {
		return r.RemoveServer(raft.ServerID(name), 0, v.cfg.HeartbeatTimeout)
	}})
	return err
}

// effects returns up to limit effects with an index from the given one on, and a
// channel that is closed when there are more. A *goneError says that some are not
// kept. Any voter tells them; one that is cut off tells late.
func (v *Voter) effects(from uint64, limit int) ([]effect, <-chan struct{}, error) {
	return v.fsm.effectsFrom(max(from, 1), limit)
}

// await hands a proposal to the voter's task and waits for its result. A full inbox is a
// *busyError at once; once it is in, the end of its context is ErrUnknown.
func (v *Voter) await(p *proposal) ([]byte, uint64, error) {
	r := v.activeRaft()
	if r == nil {
		select {
		case <-v.done:
			return nil, 0, ErrShutdown
		default:
			return nil, 0, &notLeaderError{}
		}
	}
	if r.State() != raft.Leader { // known without a place in the inbox
		return nil, 0, v.notLeaderError()
	}
	p.reply = make(chan result, 1)
	select {
	case v.inbox <- p:
	default:
		return nil, 0, &busyError{v.cfg.RetryAfter}
	}
	select {
	case r := <-p.reply:
		return r.answer, r.index, r.err
	case <-p.ctx.Done():
		return nil, 0, ErrOutcomeUnknown
	case <-v.done:
	}
	select {
	case r := <-p.reply:
		return r.answer, r.index, r.err
	default: // it came into the inbox as the task ended
		return nil, 0, ErrShutdown
	}
}

// submit hands one proposal to raft. It waits while raft has all it can hold.
func (v *Voter) submit(p *proposal) error {
	var f raft.Future
	switch {
	case p.ctx.Err() != nil:
		p.reply <- result{err: p.ctx.Err()} // nobody waits for it
		return nil
	case v.raft.State() != raft.Leader:
		p.reply <- result{err: v.notLeaderError()}
		return nil
	case p.kind == proposeChange:
		f = p.change(v.raft)
	case p.kind == proposeRead:
		f = v.raft.Barrier(v.cfg.HeartbeatTimeout)
	default:
		f = v.raft.Apply(p.data, v.cfg.HeartbeatTimeout)
	}
	return v.enqueue(pending{p, f})
}

// push hands a future to who collects them. It waits while there are too many,
// unless raft can't go on, in which case it returns why.
func (v *Voter) enqueue(sent pending) (err error) {
	select {
	case v.pending <- sent:
		return nil
	case err = <-v.store.Failed():
	case err = <-v.fsm.failures:
	}
	if sent.proposal != nil {
		sent.proposal.reply <- result{err: ErrOutcomeUnknown}
	}
	return err
}

// collect answers proposals in the order in which raft was given them, which is
// the order in which it decides them.
func (v *Voter) deliverResults(done chan<- struct{}) {
	defer close(done)
	for sent := range v.pending {
		err := awaitFuture(sent.future, v.raftDown)
		if sent.proposal == nil {
			continue
		}
		sent.proposal.reply <- v.resultOf(sent, err)
	}
}

// resultOf is the result of a proposal that raft has decided, or given up with err.
func (v *Voter) resultOf(sent pending, err error) result {
	if err != nil {
		return result{err: v.proposalError(sent.proposal, err)}
	}
	switch sent.proposal.kind {
	case proposeChange:
		return result{}
	case proposeRead:
		answer, index, err := v.fsm.query(sent.proposal.data)
		return result{answer, index, err}
	}
	d, ok := sent.future.(raft.ApplyFuture).Response().(decision)
	if !ok { // the state machine has stopped
		return result{err: ErrOutcomeUnknown}
	}
	switch d.outcome {
	case outcomeUnknownSession:
		return result{err: ErrUnknownSession}
	case outcomeConfirmed:
		return result{err: ErrConfirmed}
	case outcomeTooManyUnconfirmed:
		return result{err: ErrTooManyUnconfirmed}
	}
	return result{answer: d.answer, index: d.index}
}

// proposalError is what the error of a future says of its proposal: that it was not
// appended, or that the outcome isn't known.
func (v *Voter) proposalError(p *proposal, err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return v.notLeaderError()
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return &busyError{v.cfg.RetryAfter}
	case p.kind == proposeChange:
		return fmt.Errorf("agree: %w", err)
	}
	v.log.Warn("outcome unknown", "err", err)
	return ErrOutcomeUnknown
}

// awaitFuture waits for a future. Raft leaves some of those that it has at its
// shutdown without an answer; done ends the wait for them.
func awaitFuture(f raft.Future, done <-chan struct{}) error {
	c := make(chan error, 1)
	go func() { c <- f.Error() }()
	select {
	case err := <-c:
		return err
	case <-done:
		return raft.ErrRaftShutdown
	}
}

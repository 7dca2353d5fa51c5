package agree

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// proposalKind selects how a proposal is handed to raft and what its result is.
type proposalKind uint8

const (
	proposeCommand proposalKind = iota // appends a command to the log; the result is the machine's answer
	proposeRead                        // appends a barrier, then queries the machine
	proposeChange                      // changes the set of voters; the result is empty
)

func (k proposalKind) String() string { return [...]string{"command", "read", "change"}[k] }

// proposal is a request to the goroutine of Voter.serve.
type proposal struct {
	kind   proposalKind
	ctx    context.Context
	data   []byte                       // an encoded command, or the query of a read
	change func(*raft.Raft) raft.Future // proposeChange: starts the change
	reply  chan result                  // capacity 1
}

// result is the outcome of a proposal. If err is set the other fields are empty.
type result struct {
	answer []byte
	index  uint64
	err    error
}

// pending is a proposal or a tick that has been handed to raft.
type pending struct {
	proposal *proposal // nil: a tick
	future   raft.Future
}

// openSession opens a client session. Its ID is the index of the log entry that opened it.
// After ErrOutcomeUnknown the caller may open another one: unused sessions are evicted.
func (v *Voter) openSession(ctx context.Context) (session uint64, err error) {
	_, session, err = v.await(&proposal{kind: proposeCommand, ctx: ctx, data: (&command{kind: kindOpenSession}).encode()})
	return session, err
}

// propose proposes an entry and returns the machine's answer and the index at which
// it was applied. A retry with the session and sequence number of an applied entry
// gets the original answer and index.
//
// The errors that guarantee that this attempt is not and will not be applied are
// *notLeaderError, *busyError, ErrShutdown, ErrUnknownSession, ErrConfirmed,
// ErrTooManyUnconfirmed and ErrTooLong. After ErrOutcomeUnknown it may have been
// applied or may still be.
func (v *Voter) propose(ctx context.Context, a sessionEntry) (answer []byte, index uint64, err error) {
	if len(a.Data) > MaxEntry {
		return nil, 0, ErrTooLong
	}
	if a.Seq == 0 {
		return nil, 0, ErrConfirmed
	}
	return v.await(&proposal{kind: proposeCommand, ctx: ctx, data: (&command{kind: kindPropose, entry: a}).encode()})
}

// read queries the machine, which has to be a Querier, and returns its answer with
// the index of the last applied command. The read is linearizable: the answer
// reflects all entries committed before the call.
//
// It appends a barrier to the log. Raft's VerifyLeader needs only heartbeats, but
// also accepts replies to heartbeats sent before the call: a leader that resumes
// after a pause could be confirmed by a reply from before the pause.
func (v *Voter) read(ctx context.Context, query []byte) (answer []byte, index uint64, err error) {
	if len(query) > MaxEntry {
		return nil, 0, ErrTooLong
	}
	return v.await(&proposal{kind: proposeRead, ctx: ctx, data: query})
}

// addVoter adds a voter, which was started with Config.Join. It counts for the
// quorum at once, while the log is still being sent to it.
func (v *Voter) addVoter(ctx context.Context, name, address string) error {
	if name == "" || address == "" {
		return errors.New("agree: add: name or address empty")
	}
	_, _, err := v.await(&proposal{kind: proposeChange, ctx: ctx, change: func(r *raft.Raft) raft.Future {
		return r.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, v.cfg.HeartbeatTimeout)
	}})
	return err
}

// removeVoter removes a voter from the set. Its name must not be used again.
func (v *Voter) removeVoter(ctx context.Context, name string) error {
	_, _, err := v.await(&proposal{kind: proposeChange, ctx: ctx, change: func(r *raft.Raft) raft.Future {
		return r.RemoveServer(raft.ServerID(name), 0, v.cfg.HeartbeatTimeout)
	}})
	return err
}

// effects returns up to limit effects with an index of at least from, and a channel
// that is closed when effects are added. It returns a *compactedError if some of them
// have been dropped. Every voter publishes effects; an isolated one does so late.
func (v *Voter) effects(from uint64, limit int) ([]effect, <-chan struct{}, error) {
	return v.fsm.effectsFrom(max(from, 1), limit)
}

// await queues a proposal and waits for its result. If the queue is full it returns a
// *busyError at once. If the context ends after queueing it returns ErrOutcomeUnknown.
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
	if r.State() != raft.Leader { // refused without using a place in the queue
		return nil, 0, v.notLeaderError()
	}
	p.reply = make(chan result, 1)
	select {
	case v.proposals <- p:
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
	default: // queued after rejectQueued had run
		return nil, 0, ErrShutdown
	}
}

// submit hands a proposal to raft. It blocks while too many results are pending.
func (v *Voter) submit(p *proposal) error {
	var f raft.Future
	switch {
	case p.ctx.Err() != nil:
		p.reply <- result{err: p.ctx.Err()} // the caller has stopped waiting
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

// enqueue passes a future to deliverResults. It blocks while the queue of pending
// results is full, and returns an error if the store or the state machine fails.
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

// deliverResults answers proposals in the order in which they were handed to raft,
// which is the order in which raft decides them.
func (v *Voter) deliverResults(finished chan<- struct{}) {
	defer close(finished)
	for sent := range v.pending {
		err := awaitFuture(sent.future, v.raftDown)
		if sent.proposal == nil {
			continue
		}
		sent.proposal.reply <- v.resultOf(sent, err)
	}
}

// resultOf returns the result of a proposal that raft has decided or failed with err.
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
	applied, ok := sent.future.(raft.ApplyFuture).Response().(decision)
	if !ok { // the state machine failed
		return result{err: ErrOutcomeUnknown}
	}
	switch applied.outcome {
	case outcomeUnknownSession:
		return result{err: ErrUnknownSession}
	case outcomeConfirmed:
		return result{err: ErrConfirmed}
	case outcomeTooManyUnconfirmed:
		return result{err: ErrTooManyUnconfirmed}
	}
	return result{answer: applied.answer, index: applied.index}
}

// proposalError maps the error of a raft future to the error of its proposal: either
// it was not appended, or its outcome is unknown.
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

// awaitFuture waits for a future. Raft never completes some of the futures that are
// pending at its shutdown; done ends the wait for them.
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

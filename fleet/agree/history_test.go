package agree

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"oxbowloft/fleet/agree/register"
)

// These tests record the operations of concurrent clients while voters are stopped and
// isolated, and check with porcupine (Athalye, 2017; Wing and Gong, 1993) that the
// history is linearizable.

type operationInput struct {
	op       string // add, set, get, read
	register byte
	operand  uint64
}

type operationOutput struct {
	value   uint64
	unknown bool
}

// registerModel is porcupine's model of the register machine, partitioned by register.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[byte][]porcupine.Operation{}
		for _, o := range history {
			r := o.Input.(operationInput).register
			parts[r] = append(parts[r], o)
		}
		var all [][]porcupine.Operation
		for _, p := range parts {
			all = append(all, p)
		}
		return all
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(uint64), in.(operationInput), out.(operationOutput)
		next, answer := s, s
		switch i.op {
		case "add":
			next, answer = s+i.operand, s+i.operand
		case "set":
			next = i.operand
		}
		return o.unknown || o.value == answer, next
	},
}

// history records the operations of clients.
type history struct {
	start           time.Time
	mu              sync.Mutex
	operations      []porcupine.Operation
	unknownOutcomes int // number of operations with an unknown outcome
}

// runOperation runs a random operation and records it.
func (h *history) runOperation(ctx context.Context, clientID int, client *Client, rng *rand.Rand) {
	input := operationInput{[]string{"add", "add", "set", "get", "read"}[rng.IntN(5)], byte(rng.IntN(3)), rng.Uint64N(1000) + 1}
	call := time.Since(h.start)
	var answer []byte
	var err error
	switch input.op {
	case "add":
		answer, _, err = client.Propose(ctx, register.Add(input.register, input.operand))
	case "set":
		answer, _, err = client.Propose(ctx, register.Set(input.register, input.operand))
	case "get":
		answer, _, err = client.Propose(ctx, register.Get(input.register))
	case "read":
		answer, _, err = client.Read(ctx, register.Get(input.register))
	}
	end := time.Since(h.start)
	h.mu.Lock()
	defer h.mu.Unlock()
	o := porcupine.Operation{ClientId: clientID, Input: input, Call: int64(call), Return: int64(end)}
	switch {
	case err == nil:
		v, err := register.Value(answer)
		if err != nil {
			panic(err)
		}
		o.Output = operationOutput{value: v}
	case err == ErrOutcomeUnknown && input.op != "get":
		o.Output, o.Return = operationOutput{unknown: true}, math.MaxInt64
		h.unknownOutcomes++
	default:
		return // not applied, or without an effect on the state
	}
	h.operations = append(h.operations, o)
}

// run runs clients while inject runs, and then until their operations have completed.
func (h *history) run(t testing.TB, c *cluster, clients int, inject func()) {
	h.start = time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		client := c.client()
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				// A short timeout for some, so that there are unknown outcomes.
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				if rng.IntN(20) == 0 {
					ctx, cancel = context.WithTimeout(context.Background(), time.Millisecond)
				}
				h.runOperation(ctx, i, client, rng)
				cancel()
				time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond) // keeps the history short enough for the check
			}
		})
	}
	inject()
	c.add(c.client(), 0) // the cluster has recovered
	close(stop)
	running.Wait()
}

// awaitOperations waits until n operations have been recorded.
func (h *history) awaitOperations(t testing.TB, n int) {
	await(t, "operations", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.operations) >= n
	})
}

func (h *history) check(t testing.TB) porcupine.CheckResult {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(registerModel, h.operations, 20*time.Second)
	t.Logf("%d operations, %d with an unknown outcome: %s", len(h.operations), h.unknownOutcomes, result)
	return result
}

// Histories are linearizable while voters stop, are isolated and restart.
func TestLinearizability(t *testing.T) {
	for _, n := range []int{3, 5} {
		c := newCluster(t, n, newRegister, func(cfg *Config) {
			cfg.SnapshotThreshold, cfg.TrailingEntries, cfg.SnapshotInterval = 50, 10, 50*time.Millisecond
		}).start()
		c.leader()
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		h := &history{}
		h.run(t, c, 4, func() {
			for i := range 5 {
				h.awaitOperations(t, 60*(i+1))
				injectFault(t, c, rng)
			}
			h.awaitOperations(t, 360)
		})
		if got := h.check(t); got == porcupine.Illegal {
			t.Fatalf("%d voters: not linearizable", n)
		}
	}
}

// injectFault stops or isolates voters for longer than an election takes.
func injectFault(t testing.TB, c *cluster, rng *rand.Rand) {
	shuffled := append([]*node(nil), c.nodes...)
	rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	switch rng.IntN(4) {
	case 0: // the leader stops
		n := c.leader()
		n.stop()
		defer restart(t, n)
	case 1: // half of the voters are isolated
		for _, n := range shuffled[:len(shuffled)/2] {
			n.setIsolated(true)
			defer n.setIsolated(false)
		}
	case 2: // the leader is isolated
		n := c.leader()
		n.setIsolated(true)
		defer n.setIsolated(false)
	case 3: // all stop at once
		for _, n := range shuffled {
			n.stop()
			defer restart(t, n)
		}
		return
	}
	time.Sleep(3 * testHeartbeat)
}

func restart(t testing.TB, n *node) {
	if err := n.start(); err != nil {
		t.Error(err)
	}
}

// The check detects a machine that applies entries twice.
func TestHistoryDetectsDoubleApply(t *testing.T) {
	c := newCluster(t, 3, func() Machine { return doubleApplyQuerier{doubleApplyMachine{register.New()}} }, nil).start()
	h := &history{}
	h.run(t, c, 2, func() { h.awaitOperations(t, 40) })
	if h.check(t) != porcupine.Illegal {
		t.Fatal("violation not detected")
	}
}

type doubleApplyQuerier struct{ doubleApplyMachine }

func (m doubleApplyQuerier) Query(q []byte) []byte { return m.Machine.(Querier).Query(q) }

// A store that has lost its last records is rejected. If its checksums and bounds are
// rewritten to match, the linearizability check detects the loss.
func TestHistoryDetectsLostRecords(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	h := &history{}
	h.run(t, c, 2, func() {
		h.awaitOperations(t, 100)
		for _, n := range c.nodes {
			n.stop()
		}
		for i, n := range c.nodes {
			deleteLastCommands(t, n.cfg.Dir, 15)
			if i == 0 {
				if _, err := openStore(n.cfg.Dir); err == nil {
					t.Error("a store that lost its last records was opened")
				}
			}
			rewriteChecks(t, n.cfg.Dir)
		}
		c.start()
	})
	if h.check(t) != porcupine.Illegal {
		t.Fatal("violation not detected")
	}
}

// deleteLastCommands deletes log entries from the end until a number of commands is deleted.
func deleteLastCommands(t testing.TB, dir string, commands int) {
	editStore(t, dir, func(log, _ *bbolt.Bucket) error {
		for k, v := log.Cursor().Last(); k != nil && commands > 0; k, v = log.Cursor().Last() {
			var l raft.Log
			if err := decodeLog(k, v, &l); err != nil {
				return err
			}
			if l.Index < 10 {
				return fmt.Errorf("the log has only %d entries left", l.Index)
			}
			if l.Type == raft.LogCommand {
				commands--
			}
			if err := log.Delete(k); err != nil {
				return err
			}
		}
		return nil
	})
}

// rewriteChecks updates the stored bounds and the checksum to match the remaining records.
func rewriteChecks(t testing.TB, dir string) {
	editStore(t, dir, func(log, stable *bbolt.Bucket) error {
		first, _ := log.Cursor().First()
		last, _ := log.Cursor().Last()
		return writeBounds(stable.Tx(), binary.BigEndian.Uint64(first), binary.BigEndian.Uint64(last))
	})
	editStore(t, dir, func(_, stable *bbolt.Bucket) error { return writeStableChecksum(stable.Tx()) })
}

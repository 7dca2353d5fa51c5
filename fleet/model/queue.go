package model

import (
	"container/heap"
	"oxbowloft/logic"
	"time"
)

type eventKind byte

const (
	firstTryArrives eventKind = iota
	attemptArrives
	attemptServed
	attemptAnswered
	attemptTimedOut
	balancerTimer
	clientRetries
	countersDue // a member reports its counters to its overload.Fleet
	digestDue
	digestArrives
)

// event is a simulated event. The fields after kind are set where the kind needs them.
type event struct {
	at      time.Duration
	serial  uint64 // order of scheduling
	kind    eventKind
	member  int
	request *clientRequest
	attempt int
	token   uint64 // of a timer; for attempts the number of the client's try
	digest  []byte
	result  logic.Result
	backend int
}

// eventQueue is a heap of events by time; events at the same time keep the order of scheduling.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// schedule queues an event after a delay from now; a negative one counts as 0.
func (m *Model) schedule(delay time.Duration, e *event) {
	m.lastSerial++
	e.at, e.serial = m.now+max(delay, 0), m.lastSerial
	heap.Push(&m.events, e)
}

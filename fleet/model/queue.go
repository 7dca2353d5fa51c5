package model

import (
	"container/heap"
	"oxbowloft/logic"
	"time"
)

type kind byte

const (
	clientArrives kind = iota
	callArrives
	callServed
	answer
	timeout
	wake
	again
	report
	gossip
	digest
)

type event struct {
	at     time.Duration
	serial uint64
	kind   kind
	member int
	call   *clientCall
	try    int
	token  uint64
	bytes  []byte
	result logic.Result
	to     int
}

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

func (m *Model) after(d time.Duration, e *event) {
	m.serial++
	e.at, e.serial = m.now+max(d, 0), m.serial
	heap.Push(&m.queue, e)
}

package proxy

import (
	"oxbowloft/internal/discovery"
	"oxbowloft/internal/memory"
)

// All memory that is held for clients and backends is charged to one budget, a part of the configured
// limit. The rest of the limit is for the program itself and for what the collector has not freed yet.

const (
	// memoryFraction is the fraction of the memory limit that may be held for clients and backends.
	memoryFraction = 0.3
	// clientConnShare is the largest part of the budget for connections from clients.
	clientConnShare = 0.5
	// clientConnBytes is the memory that a connection from a client takes, with its first read buffer
	// and its goroutine.
	clientConnBytes = 8 << 10
	// requestBytes is the memory that an open request of usual size takes beside its connections.
	requestBytes = 8 << 10
	// backendBytes is the memory that a listed backend takes.
	backendBytes = 1 << 10
)

// causeNoMemory is the cause of a refusal for want of memory, in the log.
const causeNoMemory = "no_memory"

// resizeMemory changes the budget to this process's part of the limits.
func (p *Proxy) resizeMemory(limits Limits, processes int) {
	budget := int64(memoryFraction * limits.MemoryMB * (1 << 20) / float64(max(1, processes)))
	p.memory.Resize(budget)
	p.descriptors.limitClients(int(clientConnShare * float64(budget) / clientConnBytes))
}

// updateList applies a list, or changes to it, and charges the memory of the backends.
func (p *Proxy) updateList(list *discovery.List) {
	before := p.driver.backendCount()
	p.driver.updateList(list)
	p.memory.Charge(memory.Connection, int64(p.driver.backendCount()-before)*backendBytes, 0)
}

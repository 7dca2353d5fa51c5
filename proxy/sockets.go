package proxy

import (
	"log"
	"math"
	"sync"
	"syscall"
	"time"
)

// descriptorBudget is the budget of file descriptors that client and backend connections
// share; the process's other descriptors are set aside. When it runs short, idle
// connections are closed. Each side has a minimum share that the other can't take:
// connections accepted by the kernel must be accepted and can then be refused, and an
// accepted request needs a backend connection however many clients are idle.
type descriptorBudget struct {
	mu            sync.Mutex
	released      *sync.Cond
	used          int
	backendUsed   int // part of used
	limit         int
	clientLimit   int  // of descriptors for clients, by their memory
	peakUsed      int  // maximum of used so far
	clientWaiting bool // a client waits for a descriptor

	// reclaim closes idle connections, or shortens their waits, because excess too many
	// are in use.
	reclaim func(excess int)
	// reclaimClients does so with connections from clients alone.
	reclaimClients func(excess int)
	waitDeadline   time.Time // no client waits beyond it; zero: no bound
}

const (
	reservedDescriptors = 16        // listener, discovery, poller, standard streams, one dial in progress
	minShareDivisor     = 8         // each side's minimum share is the limit divided by this
	reclaimThreshold    = 3.0 / 4.0 // fraction of the limit in use
)

func newDescriptorBudget(limit int) *descriptorBudget {
	s := &descriptorBudget{limit: allowedDescriptors(limit) - reservedDescriptors, clientLimit: math.MaxInt}
	s.released = sync.NewCond(&s.mu)
	return s
}

// allowedDescriptors returns the number of descriptors that the process can open, at most
// the configured number. Without it, accepts and dials would fail with EMFILE.
func allowedDescriptors(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	log.Printf("event=descriptors_fewer configured=%d allowed=%d", configured, limit.Cur)
	return int(limit.Cur)
}

// resize changes the budget to a new limit. Descriptors in use beyond it are released as
// their connections end.
func (s *descriptorBudget) resize(limit int) {
	s.mu.Lock()
	s.limit = allowedDescriptors(limit) - reservedDescriptors
	s.mu.Unlock()
	s.released.Broadcast()
}

// limitClients changes the limit of descriptors for clients, one at least.
func (s *descriptorBudget) limitClients(limit int) {
	s.mu.Lock()
	s.clientLimit = max(1, limit)
	s.mu.Unlock()
	s.released.Broadcast()
}

// clientsUsed returns how many descriptors clients use. The caller holds mu.
func (s *descriptorBudget) clientsUsed() int { return s.used - s.backendUsed }

// TryAcquire takes a descriptor for a connection to a backend, if one is available.
func (s *descriptorBudget) TryAcquire() bool {
	s.reclaimIfNearLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backendUsed+max(s.used-s.backendUsed, s.minShare()) >= s.limit {
		return false
	}
	s.backendUsed++
	s.recordAcquired()
	return true
}

// minShare returns the minimum share of each side: at least one, without which nothing is
// served.
func (s *descriptorBudget) minShare() int { return max(1, s.limit/minShareDivisor) }

// fullForClients reports whether no descriptor is available for another client. The
// caller holds mu.
func (s *descriptorBudget) fullForClients() bool {
	return s.clientsUsed() >= s.clientLimit || s.clientsUsed()+max(s.backendUsed, s.minShare()) >= s.limit
}

// setWaitDeadline bounds the wait for a descriptor, including one in progress, so that a
// drain does not hang on it.
func (s *descriptorBudget) setWaitDeadline(deadline time.Time) {
	s.mu.Lock()
	s.waitDeadline = deadline
	s.mu.Unlock()
	time.AfterFunc(time.Until(deadline), func() {
		s.mu.Lock() // a waiter that saw the old deadline has reached Wait by now
		defer s.mu.Unlock()
		s.released.Broadcast()
	})
}

// acquireForClient waits for a descriptor and takes it for a client. It returns false if
// none is available in time.
func (s *descriptorBudget) acquireForClient() bool {
	s.reclaimIfNearLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.clientWaiting = false }()
	for s.fullForClients() {
		if !s.waitDeadline.IsZero() && !time.Now().Before(s.waitDeadline) {
			return false
		}
		if !s.clientWaiting { // connections that become idle from now on are closed without a reclaim
			s.clientWaiting = true
			s.mu.Unlock()
			s.reclaimIfNearLimit()
			s.mu.Lock()
			continue
		}
		s.released.Wait()
	}
	s.recordAcquired()
	return true
}

// clientIsWaiting reports whether a client waits for a descriptor.
func (s *descriptorBudget) clientIsWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientWaiting
}

func (s *descriptorBudget) recordAcquired() {
	s.used++
	s.peakUsed = max(s.peakUsed, s.used)
}

// Release releases the descriptor of a backend connection.
func (s *descriptorBudget) Release() {
	s.mu.Lock()
	s.backendUsed--
	s.used--
	s.mu.Unlock()
	s.released.Signal()
}

// releaseForClient releases the descriptor of a client connection.
func (s *descriptorBudget) releaseForClient() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.released.Signal()
}

// Exhausted reports whether no descriptor is left; connections that become idle are then
// closed.
func (s *descriptorBudget) Exhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit || s.clientsUsed() >= s.clientLimit
}

func (s *descriptorBudget) reclaimIfNearLimit() {
	excess, clientExcess := s.excess(), s.clientExcess()
	if excess > 0 {
		s.reclaim(excess)
	}
	if clientExcess > max(0, excess) {
		s.reclaimClients(clientExcess)
	}
}

// excess returns how many descriptors above the reclaim threshold are in use once one
// more is taken.
func (s *descriptorBudget) excess() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used + 1 - int(reclaimThreshold*float64(s.limit))
}

// clientExcess returns the same for the limit of clients.
func (s *descriptorBudget) clientExcess() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientsUsed() + 1 - int(reclaimThreshold*float64(s.clientLimit))
}

// Scarce reports whether descriptors are short, so that they are to be released as
// soon as possible.
func (s *descriptorBudget) Scarce() bool { return s.excess() > 0 || s.clientExcess() > 0 }

func (s *descriptorBudget) inUse() (used, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.peakUsed
}

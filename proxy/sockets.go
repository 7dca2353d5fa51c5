package proxy

import (
	"log"
	"sync"
	"syscall"
	"time"
)

// sockets is the budget of descriptors: client connections and those to
// backends draw on it; what else the process holds is left out of it. Near its
// end idle connections are closed. Each side has a part that the other can't take: what
// the kernel has accepted must be taken, and can be refused; and a request that has been
// taken needs a backend, however many clients stand idle.
type descriptorBudget struct {
	mu            sync.Mutex
	released      *sync.Cond
	used          int
	backendUsed   int // of these
	limit         int
	peakUsed      int  // that were ever in use
	clientWaiting bool // a client does

	// relieve closes or hurries idle connections: too many by excess.
	reclaim      func(excess int)
	waitDeadline time.Time // no client waits any longer; zero: no bound
}

const (
	reservedDescriptors = 16        // listener, discovery, poller, standard streams, a dial under way
	minShareDivisor     = 8         // the budget by this is for clients alone, and as much for backends
	reclaimThreshold    = 3.0 / 4.0 // of the budget in use
)

func newDescriptorBudget(limit int) *descriptorBudget {
	s := &descriptorBudget{limit: allowedDescriptors(limit) - reservedDescriptors}
	s.released = sync.NewCond(&s.mu)
	return s
}

// allowedSockets is how many descriptors a process that may have so many by its
// configuration can open at all: guards against accepts and dials that fail by EMFILE.
func allowedDescriptors(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	log.Printf("event=descriptors_fewer configured=%d allowed=%d", configured, limit.Cur)
	return int(limit.Cur)
}

// resize makes the budget that of a new limit. What is in use over it is given back
// as its connections end.
func (s *descriptorBudget) resize(limit int) {
	s.mu.Lock()
	s.limit = allowedDescriptors(limit) - reservedDescriptors
	s.mu.Unlock()
	s.released.Broadcast()
}

// Take takes a descriptor for a connection to a backend, if there is one.
func (s *descriptorBudget) Take() bool {
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

// own is the least part of each side: one at least, without which nothing is served.
func (s *descriptorBudget) minShare() int { return max(1, s.limit/minShareDivisor) }

// crowded tells whether no other client can be taken. The caller holds mu.
func (s *descriptorBudget) fullForClients() bool {
	return s.used-s.backendUsed+max(s.backendUsed, s.minShare()) >= s.limit
}

// waitUntil bounds the wait for a descriptor, also one that is under way: guards against
// a drain that hangs on it.
func (s *descriptorBudget) setWaitDeadline(deadline time.Time) {
	s.mu.Lock()
	s.waitDeadline = deadline
	s.mu.Unlock()
	time.AfterFunc(time.Until(deadline), func() {
		s.mu.Lock() // who has seen that there is time left is waiting by now
		defer s.mu.Unlock()
		s.released.Broadcast()
	})
}

// wait takes a descriptor for a client, once there is one. It returns false where there
// is none in time.
func (s *descriptorBudget) acquireForClient() bool {
	s.reclaimIfNearLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.clientWaiting = false }()
	for s.fullForClients() {
		if !s.waitDeadline.IsZero() && !time.Now().Before(s.waitDeadline) {
			return false
		}
		if !s.clientWaiting { // who becomes idle from now on makes room by itself
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

// wanted tells whether a client waits for a descriptor.
func (s *descriptorBudget) clientIsWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientWaiting
}

func (s *descriptorBudget) recordAcquired() {
	s.used++
	s.peakUsed = max(s.peakUsed, s.used)
}

// Give gives one of a backend's back.
func (s *descriptorBudget) Give() {
	s.mu.Lock()
	s.backendUsed--
	s.used--
	s.mu.Unlock()
	s.released.Signal()
}

// leave gives one of a client's back.
func (s *descriptorBudget) releaseForClient() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.released.Signal()
}

// Full tells whether none is left: connections that become idle are closed then.
func (s *descriptorBudget) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

func (s *descriptorBudget) reclaimIfNearLimit() {
	if n := s.excess(); n > 0 {
		s.reclaim(n)
	}
}

// excess is how many too many are in use once another one is.
func (s *descriptorBudget) excess() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used + 1 - int(reclaimThreshold*float64(s.limit))
}

// short tells whether descriptors are given back as soon as can be.
func (s *descriptorBudget) nearLimit() bool { return s.excess() > 0 }

func (s *descriptorBudget) inUse() (used, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.peakUsed
}

package agree

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"time"
)

// Cluster formation: how a voter with an empty store starts.
//
// Such a voter is either new or has lost its disk. One that has lost its disk must
// not vote, because it may have forgotten a vote or an acknowledged entry. So a voter
// generates a random incarnation number, saves it in its store, and queries the other
// voters of the initial set:
//
//   - if one has formed, and its list of incarnations has this voter's: form with that
//     list;
//   - if one has formed, and its list has another incarnation for this voter's name:
//     the store of that incarnation is lost, so this voter stops. The operator has to
//     remove it from the set and add another with a new name and Config.Join;
//   - if all reply, none has formed, all have the same initial set, and a second round
//     gives the same replies: form with their incarnations. Two equal rounds prove that
//     all of these incarnations existed at one time and none had formed then;
//   - otherwise query again later.
//
// A voter saves the list of incarnations before it participates in raft. The scheme is
// safe as long as a majority of the formed voters keep their disks; otherwise the
// replicated state is lost in any case.

// hello describes a voter to others during formation.
type hello struct {
	Name         string            `cbor:"1,keyasint"`
	VoterSetHash uint64            `cbor:"2,keyasint"` // hash of the names and addresses of the initial set
	Incarnation  uint64            `cbor:"3,keyasint"`
	Incarnations map[string]uint64 `cbor:"4,keyasint,omitempty"` // of the initial voters, once formed
	HasFormed    bool              `cbor:"5,keyasint,omitempty"` // set also for an added voter
}

var (
	keyIdentity = []byte("agree/self")

	errStoreLost = errors.New("store empty, but others know an earlier life of this voter: " +
		"remove it and add it by a new name")
)

// loadIdentity reads the identity of the voter that owns the store, or creates one in a new store.
func (s *logStore) loadIdentity(cfg *Config) (h hello, err error) {
	text, err := s.Get(keyIdentity)
	if err != nil {
		return h, err
	}
	if len(text) == 0 {
		// A store with a log but without an identity was not written by this package.
		if _, last := s.bounds(); last != 0 {
			return h, fmt.Errorf("store %s: %s: missing", s.path, keyIdentity)
		}
		var random [8]byte
		rand.Read(random[:])
		h = hello{Name: cfg.Name, VoterSetHash: cfg.voterSetHash(), Incarnation: binary.BigEndian.Uint64(random[:])}
		return h, s.saveIdentity(&h)
	}
	if err := decMode.Unmarshal(text, &h); err != nil {
		return h, fmt.Errorf("store %s: %s: %w", s.path, keyIdentity, err)
	}
	if h.Name != cfg.Name {
		return h, fmt.Errorf("store %s: belongs to voter %s, not %s", s.path, h.Name, cfg.Name)
	}
	if h.HasFormed && h.Incarnations == nil {
		h.Incarnations = map[string]uint64{}
	}
	h.VoterSetHash = cfg.voterSetHash()
	return h, nil
}

func (s *logStore) saveIdentity(h *hello) error {
	text, err := encMode.Marshal(h)
	if err != nil {
		return err
	}
	return s.Set(keyIdentity, text)
}

// saveFormed saves that the voter has formed with these incarnations.
func (s *logStore) saveFormed(h *hello, incarnations map[string]uint64) error {
	h.Incarnations, h.HasFormed = incarnations, true
	return s.saveIdentity(h)
}

// voterSetHash returns a hash of the initial set that doesn't depend on its order.
func (c *Config) voterSetHash() (n uint64) {
	for _, p := range c.InitialVoters {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q %q", p.Name, p.RaftAddress, p.ClientAddress)
		n += h.Sum64()
	}
	return n
}

// hello returns the description of this voter for others.
func (v *Voter) hello() hello {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.identity
	h.Incarnations = maps.Clone(h.Incarnations)
	return h
}

// form returns nil once this voter participates in raft, or the error that prevents it.
func (v *Voter) form() error {
	v.mu.Lock()
	formed := v.phase == phaseRunning
	v.mu.Unlock()
	if formed {
		return nil
	}
	v.log.Info("forming", "life", v.identity.Incarnation)
	var previous map[string]uint64
	for {
		replies, err := v.queryPeers()
		if err != nil {
			return err
		}
		incarnations, formed, err := decideFormation(v.identity, v.cfg.InitialVoters, replies)
		if err != nil {
			return err
		}
		if incarnations != nil && (formed || maps.Equal(incarnations, previous)) {
			return v.completeFormation(incarnations)
		}
		previous = incarnations
		select {
		case <-time.After(v.cfg.HeartbeatTimeout / 4):
		case err := <-v.store.Failed():
			return err
		case <-v.stop:
			return errStopped
		}
	}
}

func (v *Voter) completeFormation(incarnations map[string]uint64) error {
	self := v.hello()
	if err := v.store.saveFormed(&self, incarnations); err != nil {
		return err
	}
	v.mu.Lock()
	v.identity = self
	v.mu.Unlock()
	v.log.Info("formed", "lives", len(incarnations))
	return v.startRaft()
}

// errStopped is returned by form if Stop is called before the voter has formed.
var errStopped = errors.New("agree: stopped before it had formed")

// queryPeers queries all other voters of the initial set. The result has those that replied.
func (v *Voter) queryPeers() (map[string]hello, error) {
	type answer struct {
		name      string
		peerHello hello
		err       error
	}
	ctx, cancel := context.WithTimeout(context.Background(), v.cfg.HeartbeatTimeout)
	defer cancel()
	answers := make(chan answer, len(v.cfg.InitialVoters))
	queried := 0
	for _, p := range v.cfg.InitialVoters {
		if p.Name == v.cfg.Name {
			continue
		}
		queried++
		go func() {
			peerHello, err := queryPeer(ctx, p.ClientAddress)
			answers <- answer{p.Name, peerHello, err}
		}()
	}
	replies := map[string]hello{}
	for range queried {
		if a := <-answers; a.err == nil {
			replies[a.name] = a.peerHello
		}
	}
	return replies, nil
}

// queryPeer queries the voter at addr.
func queryPeer(ctx context.Context, addr string) (h hello, err error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return h, err
	}
	defer c.Close()
	if at, ok := ctx.Deadline(); ok {
		c.SetDeadline(at)
	}
	frame, err := encodeFrame(&request{Kind: requestHello})
	if err != nil {
		return h, err
	}
	if _, err := c.Write(frame); err != nil {
		return h, err
	}
	var r reply
	if err := readFrame(c, &r, func() {}); err != nil {
		return h, err
	}
	if err := r.err(); err != nil {
		return h, err
	}
	if r.Hello == nil {
		return h, errors.New("agree: reply without hello")
	}
	return *r.Hello, nil
}

// decideFormation decides from the replies of the other voters whether a voter may form. It
// returns the incarnations to form with, or nil if the voter can't form yet. If formed is true,
// another voter has formed with these incarnations, and no second round is needed.
func decideFormation(self hello, voters []Peer, replies map[string]hello) (incarnations map[string]uint64, formed bool, err error) {
	incarnationsByName := map[string]uint64{self.Name: self.Incarnation}
	for _, p := range voters {
		h, ok := replies[p.Name]
		if !ok {
			continue
		}
		if h.Name != p.Name {
			return nil, false, fmt.Errorf("agree: voters: %s is at the address of %s", h.Name, p.Name)
		}
		if h.VoterSetHash != self.VoterSetHash {
			return nil, false, fmt.Errorf("agree: voters: %s is configured with another set", p.Name)
		}
		incarnationsByName[p.Name] = h.Incarnation
		if h.Incarnations == nil && !h.HasFormed {
			continue
		}
		if h.Incarnations[self.Name] != self.Incarnation {
			return nil, false, fmt.Errorf("agree: %s: %w", self.Name, errStoreLost)
		}
		if incarnations != nil && !maps.Equal(incarnations, h.Incarnations) {
			return nil, false, errors.New("agree: voters have formed with different incarnations")
		}
		incarnations = h.Incarnations
	}
	if incarnations != nil {
		return incarnations, true, nil
	}
	if len(incarnationsByName) == len(voters) {
		return incarnationsByName, false, nil
	}
	return nil, false, nil
}

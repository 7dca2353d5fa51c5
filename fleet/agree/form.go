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

// How a voter with an empty store begins.
//
// It can't tell whether it is new or has lost its disk, and one that has lost
// it must not vote: it may have voted, or acknowledged an entry, that it has
// forgotten. So it draws a random life, kept in its store, and asks the others
// of the initial set:
//
//   - one that has formed, with this life in its list of lives: form with its list;
//   - one that has formed, with another life under this name: the store of that
//     life is lost. End. The operator removes this voter from the set and adds
//     another, with a new name and Config.Join;
//   - all answer, none has formed, all name the same set, and all answer the
//     same when asked again: form with their lives. Asking twice means that there
//     was a time at which all of these lives were there and none had formed;
//   - else ask again later.
//
// Who forms writes the list of lives down before it takes part. This holds while
// a majority of those that have formed keep their disks; without, what was agreed
// is lost in any case.

// hello is what a voter tells of itself.
type hello struct {
	Name         string            `cbor:"1,keyasint"`
	VoterSetHash uint64            `cbor:"2,keyasint"` // sum of the names and addresses of the initial set
	Incarnation  uint64            `cbor:"3,keyasint"`
	Incarnations map[string]uint64 `cbor:"4,keyasint,omitempty"` // lives of all when it formed; nil: it hasn't
	HasFormed    bool              `cbor:"5,keyasint,omitempty"` // it has formed, by being added
}

var (
	keyIdentity = []byte("agree/self")

	errStoreLost = errors.New("store empty, but others know an earlier life of this voter: " +
		"remove it and add it by a new name")
)

// identity reads who the store belongs to, or makes it this voter's.
func (s *logStore) loadIdentity(cfg *Config) (h hello, err error) {
	text, err := s.Get(keyIdentity)
	if err != nil {
		return h, err
	}
	if len(text) == 0 {
		// What has a log but no owner has not been written by us.
		if _, last := s.bounds(); last != 0 {
			return h, fmt.Errorf("store %s: %s: missing", s.path, keyIdentity)
		}
		var life [8]byte
		rand.Read(life[:])
		h = hello{Name: cfg.Name, VoterSetHash: cfg.voterSetHash(), Incarnation: binary.BigEndian.Uint64(life[:])}
		return h, s.saveIdentity(&h)
	}
	if err := decMode.Unmarshal(text, &h); err != nil {
		return h, fmt.Errorf("store %s: %s: %w", s.path, keyIdentity, err)
	}
	if h.Name != cfg.Name {
		return h, fmt.Errorf("store %s: of voter %s, not %s", s.path, h.Name, cfg.Name)
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

// setFormed writes down that the voter takes part from here on.
func (s *logStore) saveFormed(h *hello, lives map[string]uint64) error {
	h.Incarnations, h.HasFormed = lives, true
	return s.saveIdentity(h)
}

// set is the sum of the initial set, whatever its order.
func (c *Config) voterSetHash() (n uint64) {
	for _, p := range c.InitialVoters {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q %q", p.Name, p.RaftAddress, p.ClientAddress)
		n += h.Sum64()
	}
	return n
}

// hello returns what this voter tells of itself.
func (v *Voter) hello() hello {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.identity
	h.Incarnations = maps.Clone(h.Incarnations)
	return h
}

// form returns once this voter takes part, or with the error for which it never will.
func (v *Voter) form() error {
	v.mu.Lock()
	formed := v.phase == phaseRunning
	v.mu.Unlock()
	if formed {
		return nil
	}
	v.log.Info("forming", "life", v.identity.Incarnation)
	var before map[string]uint64
	for {
		found, err := v.queryPeers()
		if err != nil {
			return err
		}
		lives, formed, err := decideFormation(v.identity, v.cfg.InitialVoters, found)
		if err != nil {
			return err
		}
		if lives != nil && (formed || maps.Equal(lives, before)) {
			return v.completeFormation(lives)
		}
		before = lives
		select {
		case <-time.After(v.cfg.HeartbeatTimeout / 4):
		case err := <-v.store.Failed():
			return err
		case <-v.stop:
			return errStopped
		}
	}
}

func (v *Voter) completeFormation(lives map[string]uint64) error {
	self := v.hello()
	if err := v.store.saveFormed(&self, lives); err != nil {
		return err
	}
	v.mu.Lock()
	v.identity = self
	v.mu.Unlock()
	v.log.Info("formed", "lives", len(lives))
	return v.startRaft()
}

// errStopped ends a voter that is stopped before it has formed.
var errStopped = errors.New("agree: stopped before it had formed")

// askPeers asks all others what they are. Who doesn't answer is left out.
func (v *Voter) queryPeers() (map[string]hello, error) {
	type answer struct {
		name string
		h    hello
		err  error
	}
	ctx, cancel := context.WithTimeout(context.Background(), v.cfg.HeartbeatTimeout)
	defer cancel()
	answers := make(chan answer, len(v.cfg.InitialVoters))
	asked := 0
	for _, p := range v.cfg.InitialVoters {
		if p.Name == v.cfg.Name {
			continue
		}
		asked++
		go func() {
			h, err := queryPeer(ctx, p.ClientAddress)
			answers <- answer{p.Name, h, err}
		}()
	}
	found := map[string]hello{}
	for range asked {
		if a := <-answers; a.err == nil {
			found[a.name] = a.h
		}
	}
	return found, nil
}

// askPeer asks the voter at addr what it is.
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
		return h, errors.New("agree: no hello")
	}
	return *r.Hello, nil
}

// decideFormation decides whether a voter may form, by what the others found say; nil
// lives: not yet. If formed is true another has, with these lives.
func decideFormation(self hello, voters []Peer, found map[string]hello) (lives map[string]uint64, formed bool, err error) {
	all := map[string]uint64{self.Name: self.Incarnation}
	for _, p := range voters {
		h, ok := found[p.Name]
		if !ok {
			continue
		}
		if h.Name != p.Name {
			return nil, false, fmt.Errorf("agree: voters: %s is at the address of %s", h.Name, p.Name)
		}
		if h.VoterSetHash != self.VoterSetHash {
			return nil, false, fmt.Errorf("agree: voters: %s is configured with another set", p.Name)
		}
		all[p.Name] = h.Incarnation
		if h.Incarnations == nil && !h.HasFormed {
			continue
		}
		if h.Incarnations[self.Name] != self.Incarnation {
			return nil, false, fmt.Errorf("agree: %s: %w", self.Name, errStoreLost)
		}
		if lives != nil && !maps.Equal(lives, h.Incarnations) {
			return nil, false, errors.New("agree: voters have formed with different lives")
		}
		lives = h.Incarnations
	}
	if lives != nil {
		return lives, true, nil
	}
	if len(all) == len(voters) {
		return all, false, nil
	}
	return nil, false, nil
}

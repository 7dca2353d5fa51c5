// Package hollow runs many members of a fleet in one process. A hollow member is the real
// code of fleet/member with sockets and state of its own, and no request path beside it.
package hollow

import (
	"context"
	"fmt"
	"sync"
	"time"

	"oxbowloft/fleet/faultlink"
	"oxbowloft/fleet/member"
	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/resources"
	"oxbowloft/internal/scale/traffic"
)

const (
	maxSeeds        = 3  // members that all others ask first, one of each of the first zones
	startsAtOnce    = 32 // members that join at a time
	pollInterval    = 20 * time.Millisecond
	directSockets   = 2 // of a member: one for datagrams, one for connections
	relayedSockets  = 2 // of a member's relay, beside its own
	spareDescriptor = 2000
)

// Member is one hollow member.
type Member struct {
	Place    experiment.Place
	Counter  traffic.Counter
	endpoint faultlink.Endpoint
	node     *member.Node // nil: down
}

// Fleet is a fleet of hollow members. Its methods are for one goroutine.
type Fleet struct {
	times   experiment.Member
	seed    uint64
	members []*Member
	seeds   []string
	links   *faultlink.Network // nil: members reach each other directly
	cutZone int                // 0: no zone is cut off
}

// Start starts a fleet and returns once each member is serving, which is before all are in
// one view. On an error or when ctx ends nothing is left running.
func Start(ctx context.Context, plan *experiment.Experiment, size int) (*Fleet, error) {
	fleet := &Fleet{times: plan.Member, seed: plan.Seed}
	sockets := directSockets
	if plan.Relayed() {
		sockets += relayedSockets
	}
	if err := resources.CheckDescriptors(size*sockets + spareDescriptor); err != nil {
		return nil, err
	}
	if err := fleet.place(plan, size); err != nil {
		fleet.Close()
		return nil, err
	}
	if err := fleet.startAll(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// place gives each member its addresses, over relays if links are going to be cut.
func (f *Fleet) place(plan *experiment.Experiment, size int) error {
	addresses := newAddresses()
	if plan.Relayed() {
		var err error
		if f.links, err = faultlink.New(faultlink.Config{Seed: f.seed}); err != nil {
			return err
		}
	}
	for number, place := range plan.Places(size) {
		endpoint := addresses.endpoint(number)
		if f.links != nil {
			var err error
			if endpoint, err = f.links.Add(place.Name); err != nil {
				return err
			}
		}
		f.members = append(f.members, &Member{Place: place, endpoint: endpoint})
	}
	for _, seed := range f.members[:min(maxSeeds, plan.Zones, size)] {
		f.seeds = append(f.seeds, seed.endpoint.Advertise)
	}
	return nil
}

// startAll starts the seeds, then the others, some at a time.
func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.startEach(ctx, f.members[:len(f.seeds)]); err != nil {
		return err
	}
	return f.startEach(ctx, f.members[len(f.seeds):])
}

func (f *Fleet) startEach(ctx context.Context, members []*Member) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slots := make(chan struct{}, startsAtOnce)
	var starts sync.WaitGroup
	for _, each := range members {
		slots <- struct{}{}
		starts.Go(func() {
			defer func() { <-slots }()
			if err := f.startServing(ctx, each); err != nil {
				cancel(err)
			}
		})
	}
	starts.Wait()
	return context.Cause(ctx)
}

// startServing starts a member and waits until it serves.
func (f *Fleet) startServing(ctx context.Context, each *Member) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := f.start(each); err != nil {
		return err
	}
	for each.node.Phase() != member.Serving {
		if err := Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) start(each *Member) error {
	node, err := member.Start(member.Config{
		Name:             each.Place.Name,
		Zone:             zoneName(each.Place.Zone),
		Bind:             each.endpoint.Bind,
		Advertise:        each.endpoint.Advertise,
		Join:             f.seeds,
		ProbeInterval:    f.times.ProbeInterval.Duration,
		ProbeTimeout:     f.times.ProbeTimeout.Duration,
		SuspicionMult:    f.times.SuspicionMult,
		GossipInterval:   f.times.GossipInterval.Duration,
		PushPullInterval: f.times.PushPullInterval.Duration,
		RejoinMin:        f.times.RejoinMin.Duration,
		RejoinMax:        f.times.RejoinMax.Duration,
		WrapTransport:    each.Counter.Wrap,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", each.Place.Name, err)
	}
	each.node = node
	go discard(node)
	return nil
}

// discard reads what a node tells its user, as a proxy would, until the node is closed.
func discard(node *member.Node) {
	events, messages := node.Events(), node.Messages()
	for events != nil || messages != nil {
		select {
		case _, open := <-events:
			if !open {
				events = nil
			}
		case _, open := <-messages:
			if !open {
				messages = nil
			}
		}
	}
}

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

// Members returns all members, those that are down too, by number.
func (f *Fleet) Members() []*Member { return f.members }

// Close ends all members and links.
func (f *Fleet) Close() {
	f.closeEach(f.members)
	if f.links != nil {
		f.links.Close()
	}
}

// closeEach ends members without a farewell. Each may wait for its listeners to end, so that
// all are ended at once.
func (f *Fleet) closeEach(members []*Member) {
	var closes sync.WaitGroup
	for _, each := range members {
		if each.node == nil {
			continue
		}
		node := each.node
		each.node = nil
		closes.Go(func() { node.Close() })
	}
	closes.Wait()
}

// Sleep waits for a time, or until ctx ends, and returns what ended it then.
func Sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

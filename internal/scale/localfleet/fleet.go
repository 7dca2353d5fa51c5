// Package localfleet runs many members of a fleet in one process. Each member runs the real
// code of fleet/member with its own sockets and state, but without a request path.
package localfleet

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
	maxSeeds            = 3  // seed members that all members join through, one in each of the first zones
	maxConcurrentStarts = 32 // members that start and join concurrently
	pollInterval        = 20 * time.Millisecond
	directSockets       = 2    // per member: one for datagrams, one for connections
	relayedSockets      = 2    // per member's relay, in addition to directSockets
	descriptorHeadroom  = 2000 // for connections and the rest of the process
)

// Member is one member of a local fleet.
type Member struct {
	Placement experiment.Placement
	Counter   traffic.Counter
	endpoint  faultlink.Endpoint
	node      *member.Node // nil: not running
}

// Fleet is a fleet of members in this process. Its methods are not safe for concurrent use.
type Fleet struct {
	settings        experiment.Member
	seed            uint64
	members         []*Member
	seeds           []string
	links           *faultlink.Network // nil: members connect directly
	partitionedZone int                // 0: none
}

// Start starts a fleet and returns once each member is serving, which is before all views have
// converged. On an error, or if ctx ends, nothing is left running.
func Start(ctx context.Context, plan *experiment.Experiment, size int) (*Fleet, error) {
	fleet := &Fleet{settings: plan.Member, seed: plan.Seed}
	sockets := directSockets
	if plan.NeedsRelays() {
		sockets += relayedSockets
	}
	if err := resources.CheckDescriptorLimit(size*sockets + descriptorHeadroom); err != nil {
		return nil, err
	}
	if err := fleet.assignEndpoints(plan, size); err != nil {
		fleet.Close()
		return nil, err
	}
	if err := fleet.startAll(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// assignEndpoints assigns each member its addresses, with relays in between if a fault will
// partition the network.
func (f *Fleet) assignEndpoints(plan *experiment.Experiment, size int) error {
	addresses := newAddresses()
	if plan.NeedsRelays() {
		var err error
		if f.links, err = faultlink.New(faultlink.Config{Seed: f.seed}); err != nil {
			return err
		}
	}
	for index, place := range plan.Placements(size) {
		endpoint := addresses.endpoint(index)
		if f.links != nil {
			var err error
			if endpoint, err = f.links.Add(place.Name); err != nil {
				return err
			}
		}
		f.members = append(f.members, &Member{Placement: place, endpoint: endpoint})
	}
	for _, seed := range f.members[:min(maxSeeds, plan.Zones, size)] {
		f.seeds = append(f.seeds, seed.endpoint.Advertise)
	}
	return nil
}

// startAll starts the seeds first, then all other members, with bounded concurrency.
func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.startEach(ctx, f.members[:len(f.seeds)]); err != nil {
		return err
	}
	return f.startEach(ctx, f.members[len(f.seeds):])
}

func (f *Fleet) startEach(ctx context.Context, members []*Member) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slots := make(chan struct{}, maxConcurrentStarts)
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

// startServing starts a member and waits until it is serving.
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
		Name:             each.Placement.Name,
		Zone:             zoneName(each.Placement.Zone),
		Bind:             each.endpoint.Bind,
		Advertise:        each.endpoint.Advertise,
		Join:             f.seeds,
		ProbeInterval:    f.settings.ProbeInterval.Duration,
		ProbeTimeout:     f.settings.ProbeTimeout.Duration,
		SuspicionMult:    f.settings.SuspicionMult,
		GossipInterval:   f.settings.GossipInterval.Duration,
		PushPullInterval: f.settings.PushPullInterval.Duration,
		RejoinMin:        f.settings.RejoinMin.Duration,
		RejoinMax:        f.settings.RejoinMax.Duration,
		WrapTransport:    each.Counter.Wrap,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", each.Placement.Name, err)
	}
	each.node = node
	go drainEvents(node)
	return nil
}

// drainEvents reads and discards a node's events and messages until the node is closed. It takes
// the place of the proxy, which would consume them.
func drainEvents(node *member.Node) {
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

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// Members returns all members by index, including those that are not running.
func (f *Fleet) Members() []*Member { return f.members }

// Close stops all members and relays.
func (f *Fleet) Close() {
	f.closeEach(f.members)
	if f.links != nil {
		f.links.Close()
	}
}

// closeEach stops members without a leave message. Each may wait for its listeners to end, so
// all are stopped concurrently.
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

// Sleep waits for a duration. If ctx ends first, it returns the cause.
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

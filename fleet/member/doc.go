// Package member tracks the membership of the fleet: which names are alive, and the
// incarnation and run ID (one per process run) of each.
//
// roster.go and self.go hold the decision logic: they derive the state of each name
// from the reports of members, without I/O, clock or goroutines. The goroutine in
// node.go drives github.com/hashicorp/memberlist (failure detector, gossip and full
// exchanges), passes events with their times to the roster, and carries out the
// rosterActions that the roster requests.
//
// Membership is gossip (SWIM: Das, Gupta, Motivala, DSN 2002; Lifeguard: Dadgar,
// Phillips, Currey, DSN 2018): the views of members differ for seconds. Nothing that
// needs agreement may be based on them.
package member

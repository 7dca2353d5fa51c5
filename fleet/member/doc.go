// Package member keeps who belongs to the fleet, and in which life.
//
// The deciding part is in roster.go: who each name is, from what is heard. It
// does no I/O, has no clock and starts no goroutine. The task in node.go hears
// by github.com/hashicorp/memberlist, tells the roster what happened and when,
// and carries out the rosterActions that it asks for.
//
// Membership is gossip (SWIM: Das, Gupta, Motivala, DSN 2002; Lifeguard: Dadgar,
// Phillips, Currey, DSN 2018): views differ for seconds. Nothing that has to be
// agreed may rest on them.
package member

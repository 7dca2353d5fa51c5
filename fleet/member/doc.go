// Package member keeps the membership of the fleet: which names are alive, and in
// which incarnation and life (one run of a process) each is.
//
// The deciding part is in roster.go and self.go: who each name is, by what
// members report. It does no I/O, has no clock and starts no goroutine. The task
// in node.go runs github.com/hashicorp/memberlist (failure detector, gossip and
// full exchanges), tells the roster what happened and when, and carries out the
// rosterActions that it asks for.
//
// Membership is gossip (SWIM: Das, Gupta, Motivala, DSN 2002; Lifeguard: Dadgar,
// Phillips, Currey, DSN 2018): views differ for seconds. Nothing that has to be
// agreed may rest on them.
package member

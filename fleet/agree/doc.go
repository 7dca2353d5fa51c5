// Package agree replicates a state machine over three or five voters. It runs
// Raft (Ongaro, Ousterhout, ATC 2014), as implemented by hashicorp/raft, on its
// own log store, and contains the server and the client of a protocol for
// proposing entries to the voters and reading from them.
//
// Outcomes are decided only by applying committed log entries. A deposed leader
// that still believes that it leads can't commit an entry without a majority, so
// its clients get ErrOutcomeUnknown or no reply.
package agree

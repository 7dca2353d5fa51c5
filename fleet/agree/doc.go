// Package agree keeps a state that three or five voters agree on, by a
// replicated log: Raft (Ongaro, Ousterhout, ATC 2014) as in hashicorp/raft, on a
// store and a Machine of ours, and the connection by which others ask.
//
// What is agreed is decided by applying the log, never by a leader's opinion:
// a leader that was stopped and goes on believing that it leads can't get an
// entry past a majority, so all it does is to answer ErrUnknown or not at all.
package agree

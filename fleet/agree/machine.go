package agree

// Machine is the state that is agreed on. It is pure: the same entries in the
// same order give the same answers and snapshots to the byte, whatever the time
// and the machine. It must not panic, whatever the entry.
type Machine interface {
	// Apply carries out the entry at an index of the log, which only grows, and
	// returns the answer, MaxEntry bytes at most. Answers that are not empty
	// are told to subscribers with their index.
	Apply(index uint64, entry []byte) (answer []byte)
	// Snapshot returns the whole state. The caller does not change it.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot returned. After an error
	// the state is as before.
	Restore([]byte) error
}

// Querier is a Machine that answers reads. Query must not change the state.
type Querier interface {
	Query(query []byte) (answer []byte)
}

package agree

// Machine is the replicated state machine. It must be deterministic: the same
// entries in the same order give byte-identical answers and snapshots at any time
// on any host. It must not panic on any entry.
type Machine interface {
	// Apply applies the entry at a log index, which increases from call to call,
	// and returns its answer of at most MaxEntry bytes. Answers that are not
	// empty are published to subscribers with their index.
	Apply(index uint64, entry []byte) (answer []byte)
	// Snapshot returns the encoded state. The caller does not modify it.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot encoded. On an error the
	// state is unchanged.
	Restore([]byte) error
}

// Querier is implemented by a Machine that supports reads. Query must not change the state.
type Querier interface {
	Query(query []byte) (answer []byte)
}

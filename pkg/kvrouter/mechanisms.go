package kvrouter

// Mechanisms are parts of the choice that pools with an engine profile can do
// without. Options.Disabled disables them, to measure what each contributes;
// nodes disable none.
type Mechanisms struct {
	// Overlap counts what replicas cache of a prompt.
	Overlap bool
	// PendingChunks assume that a replica caches a prompt as soon as it was sent
	// there, by this router or by another one.
	PendingChunks bool
	// LearnedSpeeds follow the speeds of pools, replicas and links.
	LearnedSpeeds bool
	// PrefixWaits hold requests back for earlier ones with the same beginning.
	PrefixWaits bool
	// PeerPulls and StorePulls transfer chunks from other replicas and from the store.
	PeerPulls, StorePulls bool
	// SaveToStore saves chunks to the store.
	SaveToStore bool
}

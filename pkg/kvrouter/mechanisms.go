package kvrouter

// Mechanisms are the parts of the time cost model that Options.Disabled can disable, to
// measure what each of them contributes. Production nodes disable none.
type Mechanisms struct {
	// Overlap credits a replica for the part of the prompt that it caches.
	Overlap bool
	// PendingChunks assumes that a replica will cache a prompt as soon as this router or
	// another one has sent the prompt there. Disabling it also makes ObserveDispatch do
	// nothing, with either cost model.
	PendingChunks bool
	// LearnedSpeeds updates the assumed speeds of pools, replicas and links by observation.
	LearnedSpeeds bool
	// PrefixWaits delays a request while its replica computes the same prefix for an earlier
	// request.
	PrefixWaits bool
	// PeerPulls and StorePulls transfer chunks from other replicas and from the store.
	PeerPulls, StorePulls bool
	// SaveToStore makes replicas save chunks to the store.
	SaveToStore bool
}

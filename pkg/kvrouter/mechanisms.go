package kvrouter

// Mechanisms names parts of the choice that pools with an engine profile can do
// without, to measure what each is worth. Nodes leave all of them on.
type Mechanisms struct {
	// Overlap counts what replicas keep of a prompt.
	Overlap bool
	// PendingChunks take a replica to keep a prompt as soon as it was sent there, by
	// this router or by another one.
	PendingChunks bool
	// LearntSpeeds follow the speeds of pools, replicas and links.
	LearntSpeeds bool
	// PrefixWaits holds requests back for earlier ones with the same beginning.
	PrefixWaits bool
	// PeerPulls and StorePulls bring parts from other replicas and from the store.
	PeerPulls, StorePulls bool
	// SaveToStore put parts into the store.
	SaveToStore bool
}

// allowsPull tells whether parts may be pulled from a peer or from the store.
func (disabled Mechanisms) allowsPull(isStore bool) bool {
	if isStore {
		return !disabled.StorePulls
	}
	return !disabled.PeerPulls
}

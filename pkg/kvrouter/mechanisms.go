package kvrouter

// Mechanisms names parts of the choice that pools with an engine profile can do
// without, to measure what each is worth. Nodes leave all of them on.
type Mechanisms struct {
	// Overlap counts what replicas keep of a prompt.
	Overlap bool
	// Expectations take a replica to keep a prompt as soon as it was sent there, by
	// this router or by another one.
	Expectations bool
	// LearntSpeeds follow the speeds of pools, replicas and links.
	LearntSpeeds bool
	// Waiting holds requests back for earlier ones with the same beginning.
	Waiting bool
	// PeerPulls and StorePulls bring parts from other replicas and from the store.
	PeerPulls, StorePulls bool
	// Saves put parts into the store.
	Saves bool
}

// brings tells whether parts may be pulled from a peer or from the store.
func (off Mechanisms) brings(isStore bool) bool {
	if isStore {
		return !off.StorePulls
	}
	return !off.PeerPulls
}

package cachefeed

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// Position is the position of a batch of chunk changes, or of a snapshot, among all
// that a replica or store has reported.
type Position struct {
	// Incarnation changes with each start of the owner. Incarnations have no order.
	Incarnation uint64
	// From is the sequence number after which the batch begins, and Next the last
	// one that it covers, after which the next batch begins. A snapshot has no From.
	From, Next uint64
	// Lost says of a batch that changes before it are gone for good, and of a snapshot
	// that the owner may cache more than it states.
	Lost bool
}

// ChunkChange is what an owner reported of one chunk, by the chunk's ID.
type ChunkChange struct {
	// Sequence is the number of the change; 0 when there is none.
	Sequence uint64
	// Hash is that of prefixindex.HashByID; with 0 it is derived from Model, Salt
	// and ID.
	Hash  prefixindex.ChainHash
	Salt  string
	Model string
	ID    string
	// Tokens is how many tokens of the chunk the owner caches now, from its
	// beginning. It may be less than the chunk, and more than 0 for a removal.
	Tokens  uint32
	Removed bool
}

// IndexHash returns the hash of the chunk in the index.
func (c ChunkChange) IndexHash() prefixindex.ChainHash {
	if c.Hash != 0 {
		return c.Hash
	}
	return prefixindex.HashByID(c.Model, c.Salt, c.ID)
}

package cachefeed

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// Position locates a batch of chunk changes, or a snapshot, in the sequence of changes
// that a replica or store reports.
type Position struct {
	// Incarnation changes with each start of the owner. Incarnations have no order.
	Incarnation uint64
	// A batch covers the sequence numbers after From, up to and including Next; the next
	// batch begins after Next. A snapshot has no From.
	From, Next uint64
	// Lost means for a batch that changes before it can't be reported any more, and for
	// a snapshot that the owner may cache chunks that the snapshot lacks.
	Lost bool
}

// ChunkChange is the new state of one chunk, as an owner that reports chunks by ID states
// it.
type ChunkChange struct {
	// Sequence is the sequence number of the change; 0 if it has none.
	Sequence uint64
	// Hash is the result of prefixindex.HashByID. If it is 0, IndexHash derives the hash
	// from Model, Salt and ID.
	Hash  prefixindex.ChainHash
	Salt  string
	Model string
	ID    string
	// Tokens is the number of tokens, from the chunk's beginning, that the owner caches
	// after the change. It may be less than the chunk's length, and above 0 for a removal.
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

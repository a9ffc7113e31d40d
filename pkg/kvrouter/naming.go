package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// Naming is how the replicas of a pool identify the chunks of a prompt in their reports.
type Naming int

// The ways to identify chunks.
const (
	// Chained identifies a chunk by a hash over the chunk and all chunks before it.
	Chained Naming = iota
	// ByID identifies a chunk by a hash of its ID, the cache salt and the model.
	ByID
)

// Links returns the links of a prompt, hashed as the naming requires.
func (n Naming) Links(model, cacheSalt string, chunks []prefixindex.Chunk) []prefixindex.Link {
	if n == ByID {
		return prefixindex.LinksByID(model, cacheSalt, chunks)
	}
	return prefixindex.Chain(model, cacheSalt, chunks)
}

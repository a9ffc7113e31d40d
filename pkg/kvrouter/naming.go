package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// Naming says how the replicas of a pool name the chunks of a prompt in their
// reports.
type Naming int

// The ways to name chunks.
const (
	// Chained names stand for a chunk and all before it.
	Chained Naming = iota
	// ByID names stand for a chunk by its ID, under the cache salt and the model.
	ByID
)

// Links returns the links of a prompt under the naming.
func (n Naming) Links(model, cacheSalt string, chunks []prefixindex.Chunk) []prefixindex.Link {
	if n == ByID {
		return prefixindex.LinksByID(model, cacheSalt, chunks)
	}
	return prefixindex.Chain(model, cacheSalt, chunks)
}

package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// Naming says how the replicas of a pool name the parts of a prompt in their
// reports.
type Naming int

// The ways to name parts.
const (
	// Chained names stand for a part and all before it.
	Chained Naming = iota
	// ByID parts go by their own ID, under the cache salt and the model.
	ByID
)

// Links names the parts of a prompt.
func (n Naming) Links(model, cacheSalt string, chunks []prefixindex.Chunk) []prefixindex.Link {
	if n == ByID {
		return prefixindex.LinksByID(model, cacheSalt, chunks)
	}
	return prefixindex.Chain(model, cacheSalt, chunks)
}

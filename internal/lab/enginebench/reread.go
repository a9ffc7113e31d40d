package enginebench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// rereadWithin is how long after its last use a shared chunk that is read counts as
// read again.
const rereadWithin = 10 * time.Second

// Reread is why shared tokens were read although a replica had read them before. Its
// values are printed.
type Reread string

// The reasons.
const (
	// RereadGone means that no owner cached the chunk any more.
	RereadGone Reread = "gone"
	// RereadBelieved means that the router assumed that the chosen replica cached it.
	RereadBelieved Reread = "believed"
	// RereadPulled means that it was to be pulled, and did not come or was evicted.
	RereadPulled Reread = "pulled"
	// RereadChosen means that another replica, or the store, cached it and that the
	// router chose to have it read.
	RereadChosen Reread = "chosen"
)

// Rereads returns the reasons in the order of the tables.
func Rereads() []Reread { return []Reread{RereadGone, RereadBelieved, RereadPulled, RereadChosen} }

// countReread counts the shared tokens that a request has to read although some
// replica had read them before, by reason.
func (s *simulation) countReread(now time.Duration, request *replicaRequest, cached int) {
	chunks := request.arrival.chunks
	position := 0
	for _, chunk := range chunks[:len(chunks)-1] {
		position += int(chunk.Tokens)
		used, present := s.lastUse[chunk.ID]
		s.lastUse[chunk.ID] = now
		if !present || now-used > rereadWithin || position <= cached {
			continue
		}
		tokens := min(int(chunk.Tokens), position-cached)
		s.result.rereadTokens += tokens
		s.result.rereads[s.reasonOf(request, chunk, position)] += tokens
	}
}

// reasonOf returns why a chunk that ends at a position of the prompt is read again.
func (s *simulation) reasonOf(request *replicaRequest, chunk prefixindex.Chunk, position int) Reread {
	switch {
	case request.assumedTokens >= position:
		return RereadBelieved
	case request.source != nil:
		return RereadPulled
	}
	for _, owner := range s.owners {
		if element, present := owner.memory.chunks[chunk.ID]; present && element.Value.(*cachedChunk).cached >= int(chunk.Tokens) {
			return RereadChosen
		}
	}
	return RereadGone
}

package emulator

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// workTolerance is the rounding error, in tokens, at which work counts as done.
const workTolerance = 1e-6

// sequence is one active attempt.
type sequence struct {
	handle    Handle
	links     []prefixindex.Link
	prompt    uint64
	execution *Execution
	pinned    []prefixindex.ChainHash
	reserved  uint64
	pulling   bool

	// prefillWork is what is left of prefill, in tokens of an empty context.
	prefillWork float64
	// allWork is what prefillWork was at the start.
	allWork float64
	// produced counts generated tokens; reported is how many were announced.
	produced float64
	reported uint32
}

func newSequence(handle Handle, execution *Execution) *sequence {
	request := execution.Request
	s := &sequence{
		handle:    handle,
		links:     prefixindex.Chain(request.Model, request.CacheSalt, request.Chunks),
		execution: execution,
		pulling:   request.AwaitPull,
	}
	for _, link := range s.links {
		s.prompt += uint64(link.Tokens)
	}
	return s
}

// uncomputed returns the prompt tokens that the running prefill has left.
func (s *sequence) uncomputed() uint64 {
	left := max(s.prefillWork, 0) / s.allWork
	return uint64(left * float64(s.execution.PrefilledTokens))
}

// nextStop is the count of tokens at which a notice is due.
func (s *sequence) nextStop() float64 {
	stop := s.execution.Request.OutputTokens
	if chunk := s.execution.Request.ChunkTokens; chunk > 0 {
		stop = min(stop, s.reported+chunk)
	}
	return float64(stop)
}

// chunks returns the chunks of the prompt as the attempt computes them.
func (s *sequence) chunks(weightVersion string) []CachedChunk {
	request := s.execution.Request
	parent := prefixindex.RootHash(request.Model, request.CacheSalt)
	var made []CachedChunk
	for _, link := range s.links {
		made = append(made, CachedChunk{
			Hash:          link.Hash,
			Parent:        parent,
			Tokens:        link.Tokens,
			Tenant:        request.Tenant,
			WeightVersion: weightVersion,
		})
		parent = link.Hash
	}
	return made
}

package kvrouter

import (
	"math"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// prompt is a request's prompt under one weight version, with what the owners cache
// of it. Each weight version has hashes of its own, because the cache salt contains
// the version; so nothing cached under one version is ever found for a replica on
// another.
type prompt struct {
	version  string
	salt     string
	links    []prefixindex.Link
	overlaps prefixindex.Overlaps
	// pending is what owners will cache when the requests before have their first
	// events.
	pending prefixindex.Overlaps
	sources []pullSource
}

// scratch is the memory of one selection, reused by later ones.
type scratch struct {
	// request is here so that it is not allocated for each selection: what is passed
	// to a costModel escapes to the heap.
	request Request
	prompts []prompt
	used    int
	scored  []scoredCandidate
	// backlogs are the unread tokens of the candidates.
	backlogs []float64
}

// start begins the selection for a request, and returns the copy to work on.
func (s *scratch) start(request Request) *Request {
	s.request = request
	s.used = 0
	clear(s.scored)
	s.scored = s.scored[:0]
	return &s.request
}

// releaseScratch ends a selection. The request is not retained, since it refers to
// memory of the caller's.
func (r *Router) releaseScratch(s *scratch) {
	s.request = Request{}
	r.scratchPool.Put(s)
}

// prompt returns the prompt under a weight version, if it was looked up.
func (s *scratch) prompt(version string) *prompt {
	for i := range s.used {
		if s.prompts[i].version == version {
			return &s.prompts[i]
		}
	}
	return nil
}

// lookUp hashes the request's chunks under each weight version of the candidates,
// and looks up the owners that cache them.
func (r *Router) lookUp(s *scratch, req *Request, candidates []Candidate) {
	for i := range candidates {
		version := candidates[i].WeightVersion
		if s.prompt(version) != nil {
			continue
		}
		if s.used == len(s.prompts) {
			s.prompts = append(s.prompts, prompt{})
		}
		added := &s.prompts[s.used]
		s.used++
		added.version = version
		added.salt = req.salt(version)
		added.links = req.Naming.Links(req.Model, added.salt, req.Chunks)
		added.sources = added.sources[:0]
		r.index.Overlaps(req.Now, added.links, &added.overlaps)
		if req.Engine != nil {
			r.pending.Overlaps(req.Now, added.links, &added.pending)
		}
	}
}

func (req *Request) excludes(address string) bool {
	return req.Exclude != nil && req.Exclude(address)
}

// salt returns the cache salt under a weight version. Without SaltFor the
// version itself is the salt, so that versions are kept apart in any case.
func (req *Request) salt(version string) string {
	if req.SaltFor == nil {
		return version
	}
	return req.SaltFor(version)
}

// countTokens counts the tokens of the prompt. The count saturates instead of
// wrapping around.
func (req *Request) countTokens() {
	tokens := uint64(0)
	for _, chunk := range req.Chunks {
		tokens += uint64(chunk.Tokens)
	}
	req.promptTokens = uint32(min(tokens, math.MaxUint32))
}

// identity identifies the prompt, to spread ties.
func (p *prompt) identity() prefixindex.ChainHash {
	if len(p.links) == 0 {
		return 0
	}
	return p.links[len(p.links)-1].Hash
}

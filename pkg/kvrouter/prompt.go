package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// prompt is a request's prompt under one weight version, with the overlaps that the owners
// cache. The hashes differ between weight versions because the cache salt contains the
// version; chunks cached under one version are therefore never found for a replica that runs
// another.
type prompt struct {
	version  string
	salt     string
	links    []prefixindex.Link
	overlaps prefixindex.Overlaps
	// pending is what owners will cache when earlier requests have their first events. It
	// may still contain chunks of requests that already had theirs.
	pending prefixindex.Overlaps
	sources []pullSource
}

// lookUp hashes the request's chunks under each weight version of the candidates and looks up
// the owners that cache them.
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

// identity returns the hash of the last chunk, which spreads ties over the replicas. With
// Chained naming it covers the whole prompt.
func (p *prompt) identity() prefixindex.ChainHash {
	if len(p.links) == 0 {
		return 0
	}
	return p.links[len(p.links)-1].Hash
}

// affinity returns the hash of the last chunk but one, so that at equal costs prompts that
// differ only in their last chunk go to the same replica.
func (p *prompt) affinity() prefixindex.ChainHash {
	if len(p.links) < 2 {
		return p.identity()
	}
	return p.links[len(p.links)-2].Hash
}

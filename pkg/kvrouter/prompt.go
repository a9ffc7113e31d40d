package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

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
	// events. Chunks of which these have come may still be in it.
	pending prefixindex.Overlaps
	sources []pullSource
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

// identity identifies the prompt, to spread ties.
func (p *prompt) identity() prefixindex.ChainHash {
	if len(p.links) == 0 {
		return 0
	}
	return p.links[len(p.links)-1].Hash
}

// affinity returns the hash of what should draw requests to one replica when costs
// are equal: the shared beginning of the prompt.
func (p *prompt) affinity() prefixindex.ChainHash {
	if len(p.links) < 2 {
		return p.identity()
	}
	return p.links[len(p.links)-2].Hash
}

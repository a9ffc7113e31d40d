package kvrouter

// scratch is the memory of one selection, reused by later ones.
type scratch struct {
	// request is here so that it is not allocated for each selection: what is passed
	// to a costModel escapes to the heap.
	request Request
	// prompts has room for the prompt under each weight version; the first used ones are
	// of this selection.
	prompts []prompt
	used    int
	scored  []scoredCandidate
	// backlogs are the prompt tokens that each candidate still has to compute.
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

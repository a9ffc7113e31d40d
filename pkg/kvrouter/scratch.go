package kvrouter

// scratch is the working memory of one selection, which later selections reuse.
type scratch struct {
	// request is part of scratch so that a selection does not allocate it: arguments of a
	// costModel's methods escape to the heap.
	request Request
	// prompts contains the prompt under each weight version. Only the first used elements
	// belong to this selection.
	prompts []prompt
	used    int
	scored  []scoredCandidate
	// backlogs are the prompt tokens that each candidate still has to compute.
	backlogs []float64
}

// start begins the selection for a request and returns the copy that the selection uses.
func (s *scratch) start(request Request) *Request {
	s.request = request
	s.used = 0
	clear(s.scored)
	s.scored = s.scored[:0]
	return &s.request
}

// releaseScratch returns the memory of a selection to the pool. It clears the request, which
// refers to the caller's memory.
func (r *Router) releaseScratch(s *scratch) {
	s.request = Request{}
	r.scratchPool.Put(s)
}

// prompt returns the prompt under a weight version, or nil if it was not looked up.
func (s *scratch) prompt(version string) *prompt {
	for i := range s.used {
		if s.prompts[i].version == version {
			return &s.prompts[i]
		}
	}
	return nil
}

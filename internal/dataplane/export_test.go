package dataplane

// Waiting returns how many requests wait for a place.
func (s *Server) Waiting() int {
	s.limiter.mutex.Lock()
	defer s.limiter.mutex.Unlock()
	return len(s.limiter.waiting)
}

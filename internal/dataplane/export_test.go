package dataplane

// Waiting returns how many requests are queued.
func (s *Server) Waiting() int {
	s.limiter.mutex.Lock()
	defer s.limiter.mutex.Unlock()
	return len(s.limiter.waiting)
}

package dataplane

// Waiting returns how many requests are queued.
func (s *Server) Waiting() int {
	return s.limiter.Waiting()
}

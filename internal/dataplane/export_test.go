package dataplane

// Waiting returns how many requests are queued by the tenant limiter.
func (s *Server) Waiting() int {
	return s.limiter.Waiting()
}

package dataplane

// WithdrawOutdated withdraws the attempts that may no longer begin on the weights of their
// replicas, as the view reconciler does periodically.
func (s *Server) WithdrawOutdated() {
	s.dispatcher.WithdrawOutdated(s.options.Source.View())
}

// WaitingAttempts returns how many attempts on replicas have no output yet.
func (s *Server) WaitingAttempts() int { return s.dispatcher.WaitingAttempts() }

// Waiting returns how many requests are queued by the tenant limiter.
func (s *Server) Waiting() int {
	return s.limiter.Waiting()
}

package relaytree

// stateStore owns the newest state of each topic.
type stateStore struct {
	chunkBytes int
	states     map[Topic]*state
}

// revision returns the newest revision of a topic; 0 if there is none.
func (s *stateStore) revision(topic Topic) uint64 {
	if state := s.states[topic]; state != nil {
		return state.revision
	}
	return 0
}

// getOrCreate returns the state of a topic. It creates an empty one if there is none.
func (s *stateStore) getOrCreate(topic Topic) *state {
	if s.states[topic] == nil {
		s.states[topic] = newState(s.chunkBytes)
	}
	return s.states[topic]
}

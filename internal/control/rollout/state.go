package rollout

import "time"

// shardState is what the leader of a service shard remembers of its roll-outs.
// It may be lost: a new leader repeats a command under its own term.
type shardState struct {
	// term is the term of leadership that the rest belongs to, and since is
	// when this node first acted in it.
	term  uint64
	since time.Duration
	// progress is what goes on at each replica that a row keeps requests from.
	progress map[string]*replicaProgress
	// servingSince is when the row of each serving replica was first seen.
	servingSince map[string]time.Duration
	// paces belong to the pools.
	paces map[string]*pace
}

func newShardState(term uint64, since time.Duration) *shardState {
	return &shardState{
		term:         term,
		since:        since,
		progress:     map[string]*replicaProgress{},
		servingSince: map[string]time.Duration{},
		paces:        map[string]*pace{},
	}
}

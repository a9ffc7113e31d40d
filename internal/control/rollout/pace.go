package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

const (
	// rolloutTarget is the time in which a roll-out is to reach every replica, and
	// rolloutTargetWithoutDrain the same where replicas need not be drained and there is
	// no deadline for weights.
	rolloutTarget             = 12 * time.Second
	rolloutTargetWithoutDrain = 9 * time.Second
	// weightsDeadlineMargin is how long before the deadline of weights, at which nodes
	// give up replicas without them, the roll-out is to be done.
	weightsDeadlineMargin = 1500 * time.Millisecond
	// replicaRolloutTime is the time that one replica is assumed to need before any was
	// measured: to finish its requests, load the weights and report them.
	replicaRolloutTime             = 5 * time.Second
	replicaRolloutTimeWithoutDrain = 2500 * time.Millisecond
	// overdueAfter is how long after its deadline a roll-out takes out all replicas at
	// once, since only the bound that operators count on matters then.
	overdueAfter = time.Second
	// minOutOfService is how many replicas may be out at once in any case, unless that
	// is more than usualPoolDivisor allows.
	minOutOfService = 3
	// usualPoolDivisor divides the size of a pool: as many of its replicas may be out at
	// once as a rule, and by urgentPoolDivisor when the deadline is near.
	usualPoolDivisor  = 3
	urgentPoolDivisor = 2
)

// pace decides how many replicas of a pool are out of service at once.
type pace struct {
	// target is the named version, and targetSince when this leader first saw it.
	target      string
	targetSince time.Duration
	// withoutDrain means that replicas need not be drained.
	withoutDrain bool
	// duration is the time in which the roll-out is to reach every replica.
	duration time.Duration
	// outDurations is how long a replica was out of service, by how many were out with
	// it, and loadDurations how much of that was after its command.
	outDurations  map[int]time.Duration
	loadDurations map[int]time.Duration
}

// paceFor returns the pace of a pool, which begins anew with each named version but
// keeps what was measured.
func (s *shardState) paceFor(pool *ridgeswitchv1.Pool, now time.Duration, config Config) *pace {
	current := s.paces[pool.GetName()]
	if current == nil {
		current = &pace{
			outDurations:  map[int]time.Duration{},
			loadDurations: map[int]time.Duration{},
			targetSince:   now,
			target:        pool.GetWeightVersion(),
			withoutDrain:  config.ReplicasFinishFirst,
			duration:      config.rolloutDuration(),
		}
		s.paces[pool.GetName()] = current
	}
	if current.target != pool.GetWeightVersion() {
		current.target = pool.GetWeightVersion()
		current.targetSince = now
	}
	return current
}

// rolloutDuration is the time in which a roll-out is to reach every replica.
func (c Config) rolloutDuration() time.Duration {
	switch {
	case !c.ReplicasFinishFirst:
		return rolloutTarget
	case c.WeightsDeadline > 2*weightsDeadlineMargin:
		return c.WeightsDeadline - weightsDeadlineMargin
	default:
		return rolloutTargetWithoutDrain
	}
}

// measure takes in for how long a replica was out of service while level replicas were,
// and how much of that was after its command.
func (p *pace) measure(level int, out, load time.Duration) {
	if level <= 0 {
		return
	}
	updateMean(p.outDurations, level, out)
	updateMean(p.loadDurations, level, load)
}

// updateMean replaces the mean at a level by that of itself and a new duration.
func updateMean(means map[int]time.Duration, level int, length time.Duration) {
	if earlier, found := means[level]; found {
		length = (earlier + length) / 2
	}
	means[level] = length
}

// expectedOut is how long a replica is out of service while level replicas are.
func (p *pace) expectedOut(level int) time.Duration { return p.nearest(p.outDurations, level) }

// expectedLoad is how long a replica takes from its command on while level replicas are
// out of service. It is measured apart from expectedOut, since a leader that had to wait
// before it could command would otherwise ask too late whether replicas are back.
func (p *pace) expectedLoad(level int) time.Duration { return p.nearest(p.loadDurations, level) }

// nearest returns what was measured at the nearest level, the lower of two, or the
// default.
func (p *pace) nearest(measured map[int]time.Duration, level int) time.Duration {
	nearest := 0
	for known := range measured {
		if nearest == 0 || distance(known, level) < distance(nearest, level) || distance(known, level) == distance(nearest, level) && known < nearest {
			nearest = known
		}
	}
	switch {
	case nearest > 0:
		return measured[nearest]
	case p.withoutDrain:
		return replicaRolloutTimeWithoutDrain
	default:
		return replicaRolloutTime
	}
}

func distance(a, b int) int { return max(a-b, b-a) }

// overdue reports whether only the bound that operators count on matters any more.
// Where replicas are drained first they are never taken out all at once, as that would
// last as long as their requests run.
func (p *pace) overdue(now, deadline time.Duration) bool {
	return p.withoutDrain && now >= deadline+overdueAfter
}

// allowed returns how many replicas of a pool may be out of service at once while the
// work of left replicas remains, which is to be done by the deadline. It is the fewest with
// which it is, as replicas that load at the same time slow each other down, and no more than
// usualPoolDivisor allows as long as that is enough.
func (p *pace) allowed(now, deadline time.Duration, left, pool int) int {
	usual := max(1, pool/usualPoolDivisor)
	for level := min(minOutOfService, usual); level <= usual; level++ {
		if p.inTime(now, deadline, left, level) {
			return level
		}
	}
	limit := max(1, pool/urgentPoolDivisor)
	for level := usual + 1; level < limit; level++ {
		if p.inTime(now, deadline, left, level) {
			return level
		}
	}
	return limit
}

// inTime reports whether the remaining replicas are done before the deadline if level of
// them are out of service at once.
func (p *pace) inTime(now, deadline time.Duration, left, level int) bool {
	return time.Duration(left)*p.expectedOut(level)/time.Duration(level) <= deadline-now
}

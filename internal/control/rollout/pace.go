package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

const (
	// rolloutTarget is the time in which a roll-out is to reach every replica, and
	// rolloutTargetWithoutDrain the same where replicas need not be drained and nobody has
	// said when nodes give up those without the version.
	rolloutTarget             = 12 * time.Second
	rolloutTargetWithoutDrain = 9 * time.Second
	// weightsDeadlineMargin is how long before that the roll-out is to be over.
	weightsDeadlineMargin = 1500 * time.Millisecond
	// replicaRolloutTime is the time that one replica is taken to need before any
	// was measured: to finish its requests, load the weights and report them.
	replicaRolloutTime             = 5 * time.Second
	replicaRolloutTimeWithoutDrain = 2500 * time.Millisecond
	// overdueAfter is how long after its time a roll-out heeds nothing but the bound
	// that operators count on.
	overdueAfter = time.Second
	// minOutOfService is how many replicas may be out at once in any case, if that is
	// no more than a third.
	minOutOfService = 3
	// usualPoolDivisor of a pool, one in so many, may be out at once as a rule, and
	// urgentPoolDivisor when time presses.
	usualPoolDivisor  = 3
	urgentPoolDivisor = 2
)

// pace decides how many replicas of a pool are out of service at once.
type pace struct {
	// target is the named version, and since when this leader first saw it.
	target string
	since  time.Duration
	// withoutDrain means that replicas need not be drained.
	withoutDrain bool
	// duration is the time in which the roll-out is to reach every replica.
	duration time.Duration
	// outDurations is how long a replica was out, by how many were out with it, and loads
	// is how much of that was after its command.
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
			since:         now,
			target:        pool.GetWeightVersion(),
			withoutDrain:  config.ReplicasFinishFirst,
			duration:      config.rolloutDuration(),
		}
		s.paces[pool.GetName()] = current
	}
	if current.target != pool.GetWeightVersion() {
		current.target = pool.GetWeightVersion()
		current.since = now
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

// measure takes in how long a replica was out while so many were, and how long of that
// after its command.
func (p *pace) measure(level int, out, load time.Duration) {
	if level <= 0 {
		return
	}
	updateMean(p.outDurations, level, out)
	updateMean(p.loadDurations, level, load)
}

// updateMean takes the mean of what was known at a level and a new length.
func updateMean(means map[int]time.Duration, level int, length time.Duration) {
	if earlier, found := means[level]; found {
		length = (earlier + length) / 2
	}
	means[level] = length
}

// expectedOut is how long a replica is out while so many are.
func (p *pace) expectedOut(level int) time.Duration { return p.nearest(p.outDurations, level) }

// expectedLoad is how long a replica takes from its command on while so many are out.
// A leader that had to wait before it could command must not take that wait for theirs:
// it would ask late whether they are back.
func (p *pace) expectedLoad(level int) time.Duration { return p.nearest(p.loadDurations, level) }

// nearest is what was measured at the nearest level, or the default.
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

// deadline is when the roll-out is to be over.
func (p *pace) deadline() time.Duration { return p.since + p.duration }

// overdue reports whether only the bound that operators count on matters any more.
// Replicas that are drained first are never taken out all at once for it: that
// takes as long as their requests run.
func (p *pace) overdue(now time.Duration) bool {
	return p.withoutDrain && now >= p.deadline()+overdueAfter
}

// allowed is how many replicas of a pool may be out at once, when as much is left
// to do as so many take. It is the fewest with which the roll-out ends in time, as
// more at once load more slowly, and no more than a third as long as that is enough.
func (p *pace) allowed(now time.Duration, left, pool int) int {
	if p.overdue(now) {
		return pool
	}
	usual := max(1, pool/usualPoolDivisor)
	for level := min(minOutOfService, usual); level <= usual; level++ {
		if p.inTime(now, left, level) {
			return level
		}
	}
	limit := max(1, pool/urgentPoolDivisor)
	for level := usual + 1; level < limit; level++ {
		if p.inTime(now, left, level) {
			return level
		}
	}
	return limit
}

// inTime reports whether the replicas that are left get through at a level before the
// deadline.
func (p *pace) inTime(now time.Duration, left, level int) bool {
	return time.Duration(left)*p.expectedOut(level)/time.Duration(level) <= p.deadline()-now
}

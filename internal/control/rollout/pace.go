package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

const (
	// rolloutTarget is the time in which a roll-out is to update all replicas if they
	// must be drained. rolloutTargetWithoutDrain applies if they need not be drained
	// and Config.WeightsDeadline is unset or at most twice weightsDeadlineMargin, which
	// is too short to derive the time from.
	rolloutTarget             = 12 * time.Second
	rolloutTargetWithoutDrain = 9 * time.Second
	// weightsDeadlineMargin is how long before Config.WeightsDeadline a roll-out is to
	// end. Once that deadline has passed, nodes stop sending requests to replicas that do
	// not run the version.
	weightsDeadlineMargin = time.Second
	// replicaRolloutTime is the assumed time that a replica needs to finish its
	// requests, load the weights and report them. replicaRolloutTimeWithoutDrain is that
	// time for replicas that need not be drained. Both apply only until a time has been
	// measured for the pool.
	replicaRolloutTime             = 5 * time.Second
	replicaRolloutTimeWithoutDrain = 2500 * time.Millisecond
	// overdueAfter is how long after its deadline a replica that need not be drained is
	// taken out of service, regardless of how many other replicas of the pool are out of
	// service. By then, updating all replicas within the time that operators rely on has
	// priority over capacity.
	overdueAfter = time.Second
	// minOutOfService is how many replicas of a pool may be out of service at once
	// even if fewer would meet the deadline, unless the limit of usualPoolDivisor is
	// lower.
	minOutOfService = 3
	// usualPoolDivisor bounds how many replicas are out of service at once to the size
	// of the pool divided by it. urgentPoolDivisor replaces it if the deadline cannot be
	// met otherwise.
	usualPoolDivisor  = 3
	urgentPoolDivisor = 2
)

// pace decides how many replicas of a pool are out of service at once.
type pace struct {
	// target is the version that the configuration names for the pool. targetSince is when
	// this leader first saw that it is named.
	target      string
	targetSince time.Duration
	// withoutDrain means that replicas need not be drained.
	withoutDrain bool
	// duration is the time in which the roll-out is to update all replicas.
	duration time.Duration
	// outDurations contains the mean time that a replica was out of service for an
	// update. loadDurations contains the mean time from the command to load the weights
	// until the replica was back in service. The key of both is the level: how many
	// replicas of the shard were out of service (see replicaProgress.outOfService).
	outDurations  map[int]time.Duration
	loadDurations map[int]time.Duration
}

// paceFor returns the pace of a pool. A newly named version replaces the target of the pace;
// the measured times stay.
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

// rolloutDuration returns the time in which a roll-out is to update all replicas.
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

// measure records how long a replica was out of service while level replicas were out of
// service, and how much of that time followed the command to load the weights.
func (p *pace) measure(level int, out, load time.Duration) {
	if level <= 0 {
		return
	}
	updateMean(p.outDurations, level, out)
	updateMean(p.loadDurations, level, load)
}

// updateMean replaces the mean at a level by the average of that mean and length, so that
// recent measurements weigh most. The first length at a level becomes the mean.
func updateMean(means map[int]time.Duration, level int, length time.Duration) {
	if earlier, found := means[level]; found {
		length = (earlier + length) / 2
	}
	means[level] = length
}

// expectedOut returns how long a replica is expected to be out of service for an update while
// level replicas are out of service.
func (p *pace) expectedOut(level int) time.Duration { return p.nearest(p.outDurations, level) }

// expectedLoad returns how long a replica is expected to be out of service after the command
// to load the weights while level replicas are out of service. The leader derives from it when
// to request the first report after the command. expectedOut would make that request too late,
// since it includes the time that a leader had to wait before it was entitled to command the
// replica.
func (p *pace) expectedLoad(level int) time.Duration { return p.nearest(p.loadDurations, level) }

// nearest returns the duration that was measured at the nearest level, or the default if
// there is none. Of two equally near levels it uses the lower one.
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

// overdue reports whether a replica with a deadline is taken out of service regardless of
// the pace. Replicas that must be drained are never overdue, since all of them might then be
// out of service for as long as their requests run.
func (p *pace) overdue(now, deadline time.Duration) bool {
	return p.withoutDrain && now >= deadline+overdueAfter
}

// allowed returns how many replicas of a pool with the given size may be out of service at once
// if left replicas have to be updated by the deadline. It returns the smallest number that
// meets the deadline, since replicas that load at the same time slow each other down, but at
// least minOutOfService or the limit of usualPoolDivisor, whichever is lower. The number exceeds
// the limit of usualPoolDivisor only if that limit does not meet the deadline, and never exceeds
// that of urgentPoolDivisor.
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

// inTime reports whether left replicas are expected to be updated by the deadline if level
// replicas are out of service at once.
func (p *pace) inTime(now, deadline time.Duration, left, level int) bool {
	return time.Duration(left)*p.expectedOut(level)/time.Duration(level) <= deadline-now
}

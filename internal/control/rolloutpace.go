package control

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

const (
	// rolloutTarget is the time in which a roll-out is to reach every replica, and
	// quickRolloutTarget the same where replicas need not be drained and nobody has
	// said when nodes give up those without the version.
	rolloutTarget      = 12 * time.Second
	quickRolloutTarget = 9 * time.Second
	// beforeGivenUp is how long before that the roll-out is to be over.
	beforeGivenUp = 1500 * time.Millisecond
	// replicaRolloutTime is the time that one replica is taken to need before any
	// was measured: to finish its requests, load the weights and report them.
	replicaRolloutTime      = 5 * time.Second
	quickReplicaRolloutTime = 2500 * time.Millisecond
	// lateAfter is how long after its time a roll-out heeds nothing but the bound
	// that operators count on.
	lateAfter = time.Second
	// leastAtOnce is how many replicas may be out at once in any case, if that is
	// no more than a third.
	leastAtOnce = 3
	// shareAtOnce of a pool, one in so many, may be out at once as a rule, and
	// shareInHaste when time presses.
	shareAtOnce  = 3
	shareInHaste = 2
)

// pace decides how many replicas of a pool are out of service at once.
type pace struct {
	// target is the named version, and since when this leader first saw it.
	target string
	since  time.Duration
	// quick tells that replicas need not be drained.
	quick bool
	// length is the time in which the roll-out is to reach every replica.
	length time.Duration
	// measured is how long a replica was out, by how many were out with it, and loads
	// is how much of that was after its command.
	measured map[int]time.Duration
	loads    map[int]time.Duration
}

// paceOf returns the pace of a pool, which begins anew with each named version but
// keeps what was measured.
func (r *rolloutState) paceOf(pool *ridgeswitchv1.Pool, now time.Duration, config Config) *pace {
	current := r.paces[pool.GetName()]
	if current == nil {
		current = &pace{
			measured: map[int]time.Duration{},
			loads:    map[int]time.Duration{},
			since:    now,
			target:   pool.GetWeightVersion(),
			quick:    config.ReplicasFinishFirst,
			length:   config.rolloutLength(),
		}
		r.paces[pool.GetName()] = current
	}
	if current.target != pool.GetWeightVersion() {
		current.target = pool.GetWeightVersion()
		current.since = now
	}
	return current
}

// rolloutLength is the time in which a roll-out is to reach every replica.
func (c Config) rolloutLength() time.Duration {
	switch {
	case !c.ReplicasFinishFirst:
		return rolloutTarget
	case c.Times.WeightsDeadline > 2*beforeGivenUp:
		return c.Times.WeightsDeadline - beforeGivenUp
	default:
		return quickRolloutTarget
	}
}

// learn takes in how long a replica was out while so many were, and how long of that
// after its command.
func (p *pace) learn(level int, out, load time.Duration) {
	if level <= 0 {
		return
	}
	learnAt(p.measured, level, out)
	learnAt(p.loads, level, load)
}

// learnAt takes the mean of what was known at a level and a new length.
func learnAt(known map[int]time.Duration, level int, length time.Duration) {
	if earlier, found := known[level]; found {
		length = (earlier + length) / 2
	}
	known[level] = length
}

// expected is how long a replica is out while so many are.
func (p *pace) expected(level int) time.Duration { return p.nearest(p.measured, level) }

// expectedLoad is how long a replica takes from its command on while so many are out.
// A leader that had to wait before it could command must not take that wait for theirs:
// it would ask late whether they are back.
func (p *pace) expectedLoad(level int) time.Duration { return p.nearest(p.loads, level) }

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
	case p.quick:
		return quickReplicaRolloutTime
	default:
		return replicaRolloutTime
	}
}

func distance(a, b int) int { return max(a-b, b-a) }

// deadline is when the roll-out is to be over.
func (p *pace) deadline() time.Duration { return p.since + p.length }

// late tells whether only the bound that operators count on matters any more.
// Replicas that are drained first are never taken out all at once for it: that
// takes as long as their requests run.
func (p *pace) late(now time.Duration) bool {
	return p.quick && now >= p.deadline()+lateAfter
}

// allowed is how many replicas of a pool may be out at once, when as much is left
// to do as so many take. It is the fewest with which the roll-out ends in time, as
// more at once load more slowly, and no more than a third as long as that is enough.
func (p *pace) allowed(now time.Duration, left, pool int) int {
	if p.late(now) {
		return pool
	}
	usual := max(1, pool/shareAtOnce)
	for level := min(leastAtOnce, usual); level <= usual; level++ {
		if p.inTime(now, left, level) {
			return level
		}
	}
	most := max(1, pool/shareInHaste)
	for level := usual + 1; level < most; level++ {
		if p.inTime(now, left, level) {
			return level
		}
	}
	return most
}

// inTime tells whether the replicas that are left get through at a level before the
// deadline.
func (p *pace) inTime(now time.Duration, left, level int) bool {
	return time.Duration(left)*p.expected(level)/time.Duration(level) <= p.deadline()-now
}

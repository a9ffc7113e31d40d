package outlier

import "time"

// pool is a set of replicas that are compared with each other.
type pool struct {
	members   []*replica
	ejections uint64
	outcomes  [outcomeCount]uint64
}

// A replica counts as healthy for this zone, whatever other zones report, if the outcomes
// in this zone since the replica began to fail in any zone have a weight of at least
// healthyWeight, and the ratio of failures among them is below healthyFailureRatio.
const (
	healthyWeight       = 1.8
	healthyFailureRatio = 0.1
)

// isOutlier reports whether a replica fails far more often than others, by the outcomes of
// this zone, or by those of all zones if the replica does not count as healthy for this one.
func (d *Detector) isOutlier(now time.Duration, target *replica) bool {
	if !target.confirmed(now, &d.options) {
		return false
	}
	target.zone.decay(now, d.options.HalfLife)
	target.fleet.decay(now, d.options.HalfLife)
	if d.standsOut(now, target, target.zone) {
		return true
	}
	target.recentZone.decay(now, d.options.HalfLife)
	healthy := target.recentZone.total >= healthyWeight && target.recentZone.failureRatio() < healthyFailureRatio
	return !healthy && d.standsOut(now, target, target.fleet)
}

// standsOut reports whether the observed failures of a replica reach the minimum weight and
// ratio, and BaselineFactor times the failure ratio of the others in each of its pools.
func (d *Detector) standsOut(now time.Duration, target *replica, observed tally) bool {
	if observed.failures < d.options.MinFailures || observed.failureRatio() < d.options.FailureThreshold {
		return false
	}
	for _, group := range target.pools {
		if observed.failureRatio() < d.options.BaselineFactor*group.baselineFailureRatio(now, target, d.options.HalfLife) {
			return false
		}
	}
	return true
}

// baselineFailureRatio returns the failure ratio of the other replicas of the pool that are
// not ejected. It counts only the outcomes that this node has observed itself, since other
// nodes report only replicas that fail.
func (p *pool) baselineFailureRatio(now time.Duration, except *replica, halfLife time.Duration) float64 {
	sum := tally{}
	for _, member := range p.members {
		if member != except && !member.ejection.ejected {
			member.local.decay(now, halfLife)
			sum = sum.plus(member.local)
		}
	}
	return sum.failureRatio()
}

// canEject reports whether the ejection of a replica exceeds the MaxEjectedFraction of none
// of its pools.
func (d *Detector) canEject(target *replica) bool {
	for _, group := range target.pools {
		if float64(group.ejected()+1) > d.options.MaxEjectedFraction*float64(len(group.members)) {
			return false
		}
	}
	return true
}

// ejected counts the ejected replicas.
func (p *pool) ejected() (count int) {
	for _, member := range p.members {
		if member.ejection.ejected {
			count++
		}
	}
	return count
}

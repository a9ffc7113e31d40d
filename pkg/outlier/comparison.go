package outlier

import "time"

// pool is a set of replicas that are compared with each other.
type pool struct {
	members   []*replica
	ejections uint64
	outcomes  [outcomeCount]uint64
}

// healthyWeight is the weight of outcomes in this zone since a replica began to fail
// somewhere, and healthyFailureRatio the ratio of failures among them below which it
// counts as healthy for this zone, whatever other zones report.
const (
	healthyWeight       = 1.8
	healthyFailureRatio = 0.1
)

// isOutlier reports whether a replica fails far more than others, by the observations of
// this zone or by those of all zones.
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

// standsOut reports whether a replica stands out among its pools by the observed
// failures.
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

// baselineFailureRatio is the failure ratio of the other replicas of the pool that are
// not ejected. It counts what this node has observed itself: other nodes report only
// replicas that fail.
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

// canEject reports whether the pools of a replica would keep enough replicas without it.
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

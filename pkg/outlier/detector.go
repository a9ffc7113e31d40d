package outlier

import (
	"sync"
	"time"
)

// Verdict tells whether a request should be sent to a replica.
type Verdict int

// The verdicts, from the best to the worst.
const (
	// Healthy means that the replica is neither ejected nor suspected.
	Healthy Verdict = iota
	// Ejected means that the replica fails a large fraction of its requests. It is still
	// preferable to a suspected one.
	Ejected
	// Suspected means that the replica could not be reached recently.
	Suspected
)

// Member is a replica of a pool.
type Member struct {
	Address string
	// Instance identifies the incarnation; a new one starts without statistics.
	Instance string
}

// PoolStats are the statistics of the replicas of a pool.
type PoolStats struct {
	// Ejected and Suspected count the replicas that are avoided now.
	Ejected, Suspected int
	// Ejections counts how often a replica was ejected.
	Ejections uint64
	// Outcomes counts this node's attempts by their outcome.
	Outcomes map[Outcome]uint64
}

// Detector keeps the statistics of the replicas of all pools. It is safe for
// concurrent use.
type Detector struct {
	options Options

	mutex sync.Mutex
	// replicas are those of all pools, by address.
	replicas map[string]*replica
	pools    map[string]*pool
}

// New returns a Detector that knows no replica.
func New(options Options) *Detector {
	return &Detector{options: options.withDefaults(), replicas: map[string]*replica{}, pools: map[string]*pool{}}
}

// SetPools replaces the replicas of all pools. The statistics of those that stay in the
// same incarnation are kept.
func (d *Detector) SetPools(pools map[string][]Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	previous, previousPools := d.replicas, d.pools
	d.replicas, d.pools = make(map[string]*replica, len(previous)), make(map[string]*pool, len(pools))
	for name, members := range pools {
		group := &pool{}
		if old := previousPools[name]; old != nil {
			group.ejections, group.outcomes = old.ejections, old.outcomes
		}
		d.pools[name] = group
		for _, member := range members {
			d.join(group, member, previous)
		}
	}
}

// join adds a replica to a pool. The caller must hold the mutex.
func (d *Detector) join(group *pool, member Member, previous map[string]*replica) {
	joined := d.replicas[member.Address]
	if joined == nil {
		joined = previous[member.Address]
		if joined == nil || joined.member != member {
			joined = &replica{member: member}
		}
		joined.pools = nil
		d.replicas[member.Address] = joined
	}
	joined.pools = append(joined.pools, group)
	group.members = append(group.members, joined)
}

// Observe records the outcome of an attempt of this node on a replica.
func (d *Detector) Observe(now time.Duration, address string, outcome Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target := d.replicas[address]
	if target == nil {
		return
	}
	for _, group := range target.pools {
		group.outcomes[outcome]++
	}
	if outcome.breaksConnection() {
		target.suspicion.start(now, &d.options)
	} else if outcome != Overdue { // all others are responses
		target.suspicion.missedDeadlines = 0
	}
	if outcome == Succeeded || outcome == Slow {
		target.suspicion.clear()
	}
	failure := outcome.failureWeight()
	if failure > 0 {
		target.enableReporting(now, &d.options)
		target.failed, target.failedAt = true, now
	}
	target.unreported.add(now, d.options.HalfLife, failure, 1)
	target.local.add(now, d.options.HalfLife, failure, 1)
	d.count(now, target, true, failure, 1)
}

// count adds outcomes of a replica, and ejects or readmits the replica if they require it.
// SameZone is set for outcomes of this zone; only these count as probes.
func (d *Detector) count(now time.Duration, target *replica, sameZone bool, failures, total float64) {
	if failures > 0 {
		target.enableReporting(now, &d.options)
	}
	target.fleet.add(now, d.options.HalfLife, failures, total)
	if sameZone {
		target.zone.add(now, d.options.HalfLife, failures, total)
		target.recentZone.add(now, d.options.HalfLife, failures, total)
	}
	switch {
	case target.ejection.ejected:
		if sameZone && target.ejection.recordProbe(now, target.member.Address, failures > 0, &d.options) {
			d.readmit(now, target)
		}
	case failures > 0 && d.isOutlier(now, target) && d.canEject(target):
		target.ejection.start(now, target.member.Address, &d.options)
		for _, group := range target.pools {
			group.ejections++
		}
		d.options.Changed(target.member.Address, true)
	}
}

// readmit clears the statistics of a replica that has been readmitted. The outcomes that
// follow are reported to other nodes for some time.
func (d *Detector) readmit(now time.Duration, target *replica) {
	clean := tally{updatedAt: now}
	target.local, target.zone, target.fleet = clean, clean, clean
	target.reportingUntil = now + 2*d.options.HalfLife
	target.reportedAt = now - reportInterval
	d.options.Changed(target.member.Address, false)
}

// Verdict returns whether a request should be sent to a replica. If probe is set and a
// probe of an ejected replica is due, the replica counts as Healthy for a single request;
// the caller must call ProbeSent when it sends that request.
func (d *Detector) Verdict(now time.Duration, address string, probe bool) Verdict {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target := d.replicas[address]
	switch {
	case target == nil:
		return Healthy
	case target.suspicion.active(now):
		return Suspected
	case target.ejection.ejected && (!probe || !target.ejection.admitsProbe(now)):
		return Ejected
	}
	return Healthy
}

// ProbeSent records that a request was sent to a replica. It has an effect only if the
// replica is ejected: no other request may be a probe until the outcome of a due probe is
// recorded, or for at most the length of the ejection.
func (d *Detector) ProbeSent(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if target := d.replicas[address]; target != nil && target.ejection.ejected {
		target.ejection.probing = true
		target.ejection.probeUntil = now + target.ejection.length
	}
}

// RecordMissedDeadline records that a request's deadline has passed without any response of
// the replica. Several missed deadlines in a row make the replica suspected.
func (d *Detector) RecordMissedDeadline(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if target := d.replicas[address]; target != nil {
		target.suspicion.missedDeadlines++
		if target.suspicion.missedDeadlines >= suspectAfterMissed {
			target.suspicion.start(now, &d.options)
		}
	}
}

// RecordResponse records that a replica has sent a response of any kind.
func (d *Detector) RecordResponse(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if target := d.replicas[address]; target != nil {
		target.suspicion.missedDeadlines = 0
	}
}

// Suspect makes a replica suspected without counting a failure.
func (d *Detector) Suspect(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if target := d.replicas[address]; target != nil {
		target.suspicion.start(now, &d.options)
	}
}

// RecordAlive records that a replica has sent data other than a response. This ends its
// suspicion and, if the replica is ejected, makes its probe due.
func (d *Detector) RecordAlive(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if target := d.replicas[address]; target != nil {
		target.suspicion.clear()
		target.ejection.until = min(target.ejection.until, now)
	}
}

// Stats returns the statistics of the replicas of a pool.
func (d *Detector) Stats(now time.Duration, name string) PoolStats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stats := PoolStats{Outcomes: map[Outcome]uint64{}}
	group := d.pools[name]
	if group == nil {
		return stats
	}
	stats.Ejected, stats.Ejections = group.ejected(), group.ejections
	for _, member := range group.members {
		if member.suspicion.active(now) {
			stats.Suspected++
		}
	}
	for outcome, count := range group.outcomes {
		if count > 0 {
			stats.Outcomes[Outcome(outcome)] = count
		}
	}
	return stats
}

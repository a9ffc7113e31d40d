package outlier

import (
	"sync"
	"time"
)

// Verdict is whether a request should go to a replica.
type Verdict int

// The verdicts, from the best to the worst.
const (
	// Fit means that nothing speaks against it.
	Fit Verdict = iota
	// Ejected means that the replica fails a share of its requests: it is better
	// than none.
	Ejected
	// Suspected means that the replica could not be reached lately.
	Suspected
)

// Member is a replica of a pool.
type Member struct {
	Address string
	// Instance names the incarnation; another one begins without a past.
	Instance string
}

// PoolStats tells of the replicas of a pool.
type PoolStats struct {
	// Ejected and Suspected count the replicas that are out now.
	Ejected, Suspected int
	// Ejections counts how often one was ejected.
	Ejections uint64
	// Outcomes counts this node's attempts by their outcome.
	Outcomes map[Outcome]uint64
}

// Detector keeps the statistics of the replicas of all pools. It is safe for
// concurrent use.
type Detector struct {
	options Options

	mutex    sync.Mutex
	replicas map[string]*replica
	pools    map[string]*pool
}

// pool is the replicas that are compared with each other.
type pool struct {
	members   []*replica
	ejections uint64
	outcomes  [outcomes]uint64
}

// replica is the statistic of one replica.
type replica struct {
	member Member
	// pools are those that the replica belongs to, mostly one.
	pools []*pool
	// own counts what this node has seen, near what its zone has, and all what
	// every zone has. lately is near since the replica began to be watched.
	own, near, all, lately tally
	// untold counts this node's outcomes that the others do not know.
	untold tally
	toldAt time.Duration
	// watchedUntil is how long after a failure the others are told of good outcomes
	// too.
	watchedUntil time.Duration
	// failedAt is when this node itself saw a failure last.
	failedAt  time.Duration
	failed    bool
	tellers   tellers
	suspicion suspicion
	ejection  ejection
}

// New returns a Detector that knows no replica.
func New(options Options) *Detector {
	return &Detector{options: options.withDefaults(), replicas: map[string]*replica{}, pools: map[string]*pool{}}
}

// SetPools makes the replicas of all pools known. What is known of those that
// stay in the same incarnation is kept.
func (d *Detector) SetPools(pools map[string][]Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before, known := d.replicas, d.pools
	d.replicas, d.pools = make(map[string]*replica, len(before)), make(map[string]*pool, len(pools))
	for name, members := range pools {
		made := &pool{}
		if old := known[name]; old != nil {
			made.ejections, made.outcomes = old.ejections, old.outcomes
		}
		d.pools[name] = made
		for _, member := range members {
			d.join(made, member, before)
		}
	}
}

// join enters a replica into a pool. The lock is held.
func (d *Detector) join(into *pool, member Member, before map[string]*replica) {
	joined := d.replicas[member.Address]
	if joined == nil {
		joined = before[member.Address]
		if joined == nil || joined.member != member {
			joined = &replica{member: member}
		}
		joined.pools = nil
		d.replicas[member.Address] = joined
	}
	joined.pools = append(joined.pools, into)
	into.members = append(into.members, joined)
}

// Observe takes in how an attempt of this node on a replica went.
func (d *Detector) Observe(now time.Duration, address string, outcome Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.replicas[address]
	if known == nil {
		return
	}
	for _, of := range known.pools {
		of.outcomes[outcome]++
	}
	if outcome.breaks() {
		known.suspicion.begin(now, &d.options)
	} else if outcome != Overdue {
		known.suspicion.silent = 0
	}
	if outcome == Succeeded || outcome == Slow {
		known.suspicion.clear()
	}
	failure, total := outcome.weight()
	if failure > 0 {
		known.watch(now, &d.options)
		known.failed, known.failedAt = true, now
	}
	known.untold.add(now, d.options.HalfLife, failure, total)
	known.own.add(now, d.options.HalfLife, failure, total)
	d.count(now, known, true, failure, total)
}

// count enters outcomes of a replica, seen in this zone if they are near, and
// judges the replica.
func (d *Detector) count(now time.Duration, known *replica, near bool, failures, total float64) {
	if failures > 0 {
		known.watch(now, &d.options)
	}
	known.all.add(now, d.options.HalfLife, failures, total)
	if near {
		known.near.add(now, d.options.HalfLife, failures, total)
		known.lately.add(now, d.options.HalfLife, failures, total)
	}
	switch {
	case known.ejection.ejected:
		if near && known.ejection.probed(now, known.member.Address, failures > 0, &d.options) {
			d.readmit(now, known)
		}
	case failures > 0 && d.fails(now, known) && d.spare(known):
		known.ejection.begin(now, known.member.Address, &d.options)
		for _, of := range known.pools {
			of.ejections++
		}
		d.options.Changed(known.member.Address, true)
	}
}

// watch begins to tell the others all outcomes at a replica, or goes on. What was
// before is not told: it would outweigh the failures.
func (r *replica) watch(now time.Duration, options *Options) {
	if now >= r.watchedUntil {
		r.untold, r.lately = tally{updatedAt: now}, tally{updatedAt: now}
		r.toldAt = now - tellEvery
	}
	r.watchedUntil = now + 2*options.HalfLife
}

// readmit gives a replica a clean past, and lets the others know of it.
func (d *Detector) readmit(now time.Duration, known *replica) {
	clean := tally{updatedAt: now}
	known.own, known.near, known.all = clean, clean, clean
	known.watchedUntil = now + 2*d.options.HalfLife
	known.toldAt = now - tellEvery
	d.options.Changed(known.member.Address, false)
}

// wellNear is the weight of outcomes in the own zone since a replica began to fail
// somewhere, and wellShare the share of failures among them, by which it counts as
// well for this zone whatever others say.
const (
	wellNear  = 1.8
	wellShare = 0.1
)

// fails tells whether a replica fails far more than others, by what the own zone
// has seen or by what all have.
func (d *Detector) fails(now time.Duration, known *replica) bool {
	if !known.vouched(now, &d.options) {
		return false
	}
	known.near.fade(now, d.options.HalfLife)
	known.all.fade(now, d.options.HalfLife)
	if d.stands(now, known, known.near) {
		return true
	}
	known.lately.fade(now, d.options.HalfLife)
	well := known.lately.total >= wellNear && known.lately.share() < wellShare
	return !well && d.stands(now, known, known.all)
}

// stands tells whether a replica stands out among its pools by the failures that
// were seen.
func (d *Detector) stands(now time.Duration, known *replica, seen tally) bool {
	if seen.failures < d.options.LeastFailures || seen.share() < d.options.EjectAt {
		return false
	}
	for _, of := range known.pools {
		if seen.share() < d.options.Contrast*of.usualShare(now, known, d.options.HalfLife) {
			return false
		}
	}
	return true
}

// usualShare is the share of failures of the replicas beside one that are in the
// choice. It counts what this node has seen itself: others tell of replicas that
// fail alone.
func (p *pool) usualShare(now time.Duration, beside *replica, halfLife time.Duration) float64 {
	sum := tally{}
	for _, member := range p.members {
		if member != beside && !member.ejection.ejected {
			member.own.fade(now, halfLife)
			sum = sum.plus(member.own)
		}
	}
	return sum.share()
}

// spare tells whether the pools of a replica can spare it.
func (d *Detector) spare(known *replica) bool {
	for _, of := range known.pools {
		if float64(of.ejected()+1) > d.options.MostShare*float64(len(of.members)) {
			return false
		}
	}
	return true
}

// ejected counts the replicas that are out.
func (p *pool) ejected() (out int) {
	for _, member := range p.members {
		if member.ejection.ejected {
			out++
		}
	}
	return out
}

// Verdict tells whether a request should go to a replica. With probe, an ejected
// one is fit for a single request when its probe is due; ProbeSent must be called
// when that is sent.
func (d *Detector) Verdict(now time.Duration, address string, probe bool) Verdict {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.replicas[address]
	switch {
	case known == nil:
		return Fit
	case known.suspicion.holds(now):
		return Suspected
	case known.ejection.ejected && !(probe && known.ejection.admitsProbe(now)):
		return Ejected
	}
	return Fit
}

// ProbeSent says that a request has been sent to a replica. It matters only when
// the replica is ejected: no other request goes there until this one has ended,
// or for as long as the ejection.
func (d *Detector) ProbeSent(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.replicas[address]; known != nil && known.ejection.ejected {
		known.ejection.probing = true
		known.ejection.probeUntil = now + known.ejection.length
	}
}

// Silent says that a deadline has passed at a replica without any answer. Some
// in a row make it suspect.
func (d *Detector) Silent(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.replicas[address]; known != nil {
		known.suspicion.silent++
		if known.suspicion.silent >= silences {
			known.suspicion.begin(now, &d.options)
		}
	}
}

// Heard says that a replica has answered something, well or not.
func (d *Detector) Heard(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.replicas[address]; known != nil {
		known.suspicion.silent = 0
	}
}

// Suspect makes a replica suspect without counting a failure.
func (d *Detector) Suspect(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.replicas[address]; known != nil {
		known.suspicion.begin(now, &d.options)
	}
}

// Alive says that a replica has spoken by itself: it is not suspected, and if it
// is ejected, its probe is due.
func (d *Detector) Alive(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.replicas[address]; known != nil {
		known.suspicion.clear()
		known.ejection.until = min(known.ejection.until, now)
	}
}

// Stats tells of the replicas of a pool.
func (d *Detector) Stats(now time.Duration, name string) PoolStats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stats := PoolStats{Outcomes: map[Outcome]uint64{}}
	of := d.pools[name]
	if of == nil {
		return stats
	}
	stats.Ejected, stats.Ejections = of.ejected(), of.ejections
	for _, member := range of.members {
		if member.suspicion.holds(now) {
			stats.Suspected++
		}
	}
	for outcome, count := range of.outcomes {
		if count > 0 {
			stats.Outcomes[Outcome(outcome)] = count
		}
	}
	return stats
}

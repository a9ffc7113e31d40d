// Package outlier notices replicas that fail more than others while they claim
// to be well, takes them out of the choice for a while, and lets single requests
// probe whether they have recovered.
//
// It is pure: time is passed in, and there is no goroutine.
package outlier

import (
	"math"
	"sync"
	"time"
)

// Outcome is how an attempt on a replica ended.
type Outcome int

// The outcomes of attempts.
const (
	// Succeeded means a whole answer in time.
	Succeeded Outcome = iota
	// Errored means an answer that tells of a fault of the replica.
	Errored
	// Refused means that the replica did not run the request.
	Refused
	// TimedOut means that nothing came until the deadline.
	TimedOut
	// Reset means that the connection broke.
	Reset
	// SlowFirstToken means an answer whose first token came far too late.
	SlowFirstToken
)

// Defaults of Options.
const (
	DefaultHalfLife     = 5 * time.Second
	DefaultLeastWeight  = 3.0
	DefaultEjectAt      = 0.5
	DefaultReadmitAt    = 0.25
	DefaultEjection     = time.Second
	DefaultMostEjection = 16 * time.Second
	DefaultMostShare    = 1.0 / 3
)

// maxReplicas bounds the replicas that are remembered.
const maxReplicas = 4096

// Options configure a Detector. Zero values mean the defaults.
type Options struct {
	// HalfLife is how long it takes an outcome to lose half of its weight.
	HalfLife time.Duration
	// LeastWeight is the weight of outcomes that it takes to eject a replica.
	LeastWeight float64
	// EjectAt is the share of failures from which on a replica is ejected.
	EjectAt float64
	// ReadmitAt is the share of failures that a probed replica must fall below.
	ReadmitAt float64
	// Ejection is how long the first ejection lasts until a probe; each further
	// one in a row is twice as long, up to MostEjection.
	Ejection, MostEjection time.Duration
	// MostShare is the largest share of a pool that is ejected.
	MostShare float64
}

// Detector keeps the statistics of the replicas of all pools. It is safe for
// concurrent use.
type Detector struct {
	options Options

	mutex    sync.Mutex
	replicas map[string]*replica
}

// replica is the statistic of one replica.
type replica struct {
	pool            string
	failures, total float64
	updatedAt       time.Duration
	ejected         bool
	ejectedUntil    time.Duration
	length          time.Duration
	probing         bool
	probeUntil      time.Duration
}

// New returns a Detector that has seen nothing.
func New(options Options) *Detector {
	setDefault(&options.HalfLife, DefaultHalfLife)
	setDefault(&options.LeastWeight, DefaultLeastWeight)
	setDefault(&options.EjectAt, DefaultEjectAt)
	setDefault(&options.ReadmitAt, DefaultReadmitAt)
	setDefault(&options.Ejection, DefaultEjection)
	setDefault(&options.MostEjection, DefaultMostEjection)
	setDefault(&options.MostShare, DefaultMostShare)
	return &Detector{options: options, replicas: make(map[string]*replica)}
}

func setDefault[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}

// weight is how much an outcome counts as a failure, and how much it counts at
// all. A refusal says that the replica is full, which is no fault.
func (o Outcome) weight() (failure, total float64) {
	switch o {
	case Errored, Reset:
		return 1, 1
	case TimedOut:
		return 1.5, 1.5
	case SlowFirstToken:
		return 0.5, 1
	case Refused:
		return 0, 0
	}
	return 0, 1
}

// Observe takes in how an attempt on a replica of a pool ended.
func (d *Detector) Observe(now time.Duration, pool, address string, outcome Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.replica(pool, address)
	if known == nil {
		return
	}
	known.fade(now, d.options.HalfLife)
	failure, total := outcome.weight()
	known.failures += failure
	known.total += total
	if known.ejected {
		d.probed(now, known, outcome)
		return
	}
	full := known.total >= d.options.LeastWeight
	if full && known.failures >= d.options.EjectAt*known.total && failure > 0 {
		d.eject(now, known)
	}
}

// Avoid tells whether a request should go to another replica of the pool. It
// returns false for an ejected replica once its ejection has lasted, for a
// single request; ProbeSent must be called when it is sent there.
func (d *Detector) Avoid(now time.Duration, address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.replicas[address]
	if known == nil || !known.ejected || now < known.ejectedUntil {
		return known != nil && known.ejected
	}
	return known.probing && now < known.probeUntil
}

// ProbeSent says that a request has been sent to a replica. It matters only when
// the replica is ejected: no other request goes there until this one has ended,
// or for as long as one more ejection.
func (d *Detector) ProbeSent(now time.Duration, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.replicas[address]; known != nil && known.ejected {
		known.probing = true
		known.probeUntil = now + known.length
	}
}

// Forget drops the statistic of a replica that is gone or has restarted.
func (d *Detector) Forget(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.replicas, address)
}

// Ejected counts the ejected replicas of a pool.
func (d *Detector) Ejected(pool string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ejected, _ := d.count(pool)
	return ejected
}

// SetPool makes the replicas of a pool known, so that the share that is ejected
// is taken of all of them.
func (d *Detector) SetPool(pool string, addresses []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
		d.replica(pool, address)
	}
	for address, known := range d.replicas {
		if known.pool == pool && !listed[address] {
			delete(d.replicas, address)
		}
	}
}

func (d *Detector) replica(pool, address string) *replica {
	if known := d.replicas[address]; known != nil && known.pool == pool {
		return known
	}
	if len(d.replicas) >= maxReplicas {
		return nil
	}
	created := &replica{pool: pool}
	d.replicas[address] = created
	return created
}

func (d *Detector) count(pool string) (ejected, all int) {
	for _, known := range d.replicas {
		if known.pool != pool {
			continue
		}
		all++
		if known.ejected {
			ejected++
		}
	}
	return ejected, all
}

// eject takes a replica out, unless too many of its pool are out.
func (d *Detector) eject(now time.Duration, known *replica) {
	ejected, all := d.count(known.pool)
	if float64(ejected+1) > d.options.MostShare*float64(all) {
		return
	}
	known.ejected = true
	known.probing = false
	known.length = d.options.Ejection
	known.ejectedUntil = now + known.length
}

// probed takes in the outcome of a request to an ejected replica. A good one
// clears most of the past; the replica is back when few failures are left.
func (d *Detector) probed(now time.Duration, known *replica, outcome Outcome) {
	if now < known.ejectedUntil {
		return // it was sent before the ejection
	}
	known.probing = false
	if failure, total := outcome.weight(); failure > 0 || total == 0 {
		known.length = min(2*known.length, d.options.MostEjection)
		known.ejectedUntil = now + known.length
		return
	}
	known.failures /= 4
	if known.failures < d.options.ReadmitAt*known.total || known.total < 1 {
		known.ejected = false
	}
}

// fade takes weight off old outcomes.
func (r *replica) fade(now, halfLife time.Duration) {
	if elapsed := now - r.updatedAt; elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		r.failures *= factor
		r.total *= factor
		r.updatedAt = now
	}
}

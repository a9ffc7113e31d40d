package outlier

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultHalfLife           = 5 * time.Second
	DefaultMinFailures        = 1.8
	DefaultFailureThreshold   = 0.3
	DefaultBaselineFactor     = 2.0
	DefaultEjection           = time.Second
	DefaultMaxEjection        = 8 * time.Second
	DefaultMaxEjectedFraction = 0.5
	DefaultProbes             = 3
	DefaultSuspicion          = time.Second
	DefaultMaxSuspicion       = 8 * time.Second
)

// Options configure a Detector. Zero values mean the defaults.
type Options struct {
	// Node is the name of this node. The times of its probes depend on the name, so that
	// nodes probe at different times.
	Node string
	// HalfLife is the time after which an outcome has lost half of its weight.
	HalfLife time.Duration
	// MinFailures is the weight of failures that is required to eject a replica. It is a
	// little less than a whole number, since failures lose weight.
	MinFailures float64
	// FailureThreshold is the ratio of failures that is required to eject a replica.
	FailureThreshold float64
	// BaselineFactor is how many times higher than that of the other replicas of the pool
	// the failure ratio of a replica must be to eject it.
	BaselineFactor float64
	// Ejection is how long the first ejection lasts until a probe; each further
	// ejection in a row is twice as long, up to MaxEjection.
	Ejection, MaxEjection time.Duration
	// MaxEjectedFraction is the largest fraction of a pool that may be ejected.
	MaxEjectedFraction float64
	// Probes is how many probes in a row must succeed before a replica is readmitted.
	Probes int
	// Suspicion is how long a replica is avoided after a broken connection; each
	// further suspicion in a row is twice as long, up to MaxSuspicion.
	Suspicion, MaxSuspicion time.Duration
	// Changed, if set, is called when a replica is ejected or readmitted. It must not
	// call the Detector.
	Changed func(address string, ejected bool)
}

// withDefaults returns the options with zero values replaced.
func (o Options) withDefaults() Options {
	o.HalfLife = cmp.Or(o.HalfLife, DefaultHalfLife)
	o.MinFailures = cmp.Or(o.MinFailures, DefaultMinFailures)
	o.FailureThreshold = cmp.Or(o.FailureThreshold, DefaultFailureThreshold)
	o.BaselineFactor = cmp.Or(o.BaselineFactor, DefaultBaselineFactor)
	o.Ejection = cmp.Or(o.Ejection, DefaultEjection)
	o.MaxEjection = cmp.Or(o.MaxEjection, DefaultMaxEjection)
	o.MaxEjectedFraction = cmp.Or(o.MaxEjectedFraction, DefaultMaxEjectedFraction)
	o.Probes = cmp.Or(o.Probes, DefaultProbes)
	o.Suspicion = cmp.Or(o.Suspicion, DefaultSuspicion)
	o.MaxSuspicion = cmp.Or(o.MaxSuspicion, DefaultMaxSuspicion)
	if o.Changed == nil {
		o.Changed = func(string, bool) {}
	}
	return o
}

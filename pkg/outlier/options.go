package outlier

import "time"

// Defaults of Options.
const (
	DefaultHalfLife           = 5 * time.Second
	DefaultMinFailures        = 1.8
	DefaultFailureThreshold   = 0.3
	DefaultContrast           = 2.0
	DefaultEjection           = time.Second
	DefaultMaxEjection        = 8 * time.Second
	DefaultMaxEjectedFraction = 0.5
	DefaultProbes             = 3
	DefaultSuspicion          = time.Second
	DefaultMaxSuspicion       = 8 * time.Second
)

// Options configure a Detector. Zero values mean the defaults.
type Options struct {
	// Node sets this node's probes apart from those of the others.
	Node string
	// HalfLife is how long it takes an outcome to lose half of its weight.
	HalfLife time.Duration
	// MinFailures is the weight of failures that it takes to eject a replica. It
	// is a little less than a whole number, since failures lose weight.
	MinFailures float64
	// FailureThreshold is the share of failures from which on a replica is ejected.
	FailureThreshold float64
	// Contrast is how many times the share of failures of the other replicas of
	// its pool that must be.
	Contrast float64
	// Ejection is how long the first ejection lasts until a probe; each further
	// one in a row is twice as long, up to MaxEjection.
	Ejection, MaxEjection time.Duration
	// MaxEjectedFraction is the largest share of a pool that is ejected.
	MaxEjectedFraction float64
	// Probes is how many requests in a row must go well before a replica is back.
	Probes int
	// Suspicion is how long a replica is avoided after a broken connection; each
	// further time in a row is twice as long, up to MaxSuspicion.
	Suspicion, MaxSuspicion time.Duration
	// Changed, if set, is told when a replica is ejected or readmitted. It must
	// not call the Detector.
	Changed func(address string, ejected bool)
}

// withDefaults returns the options with zero values replaced.
func (o Options) withDefaults() Options {
	setDefault(&o.HalfLife, DefaultHalfLife)
	setDefault(&o.MinFailures, DefaultMinFailures)
	setDefault(&o.FailureThreshold, DefaultFailureThreshold)
	setDefault(&o.Contrast, DefaultContrast)
	setDefault(&o.Ejection, DefaultEjection)
	setDefault(&o.MaxEjection, DefaultMaxEjection)
	setDefault(&o.MaxEjectedFraction, DefaultMaxEjectedFraction)
	setDefault(&o.Probes, DefaultProbes)
	setDefault(&o.Suspicion, DefaultSuspicion)
	setDefault(&o.MaxSuspicion, DefaultMaxSuspicion)
	if o.Changed == nil {
		o.Changed = func(string, bool) {}
	}
	return o
}

func setDefault[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}

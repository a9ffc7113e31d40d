package claims

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Defaults of Config.
const (
	// DefaultCopies is the number of homes of a key.
	DefaultCopies = 3
	// DefaultRemember is how long a key is remembered.
	DefaultRemember = time.Minute
	// DefaultDecideWithin bounds the time until a claim is decided.
	DefaultDecideWithin = 250 * time.Millisecond
	// DefaultResendEvery is the time between two askings of a silent home.
	DefaultResendEvery = 60 * time.Millisecond
	// DefaultMaxEntries bounds what a home remembers.
	DefaultMaxEntries = 1 << 18
)

const (
	// marginShare is the part of Remember that allows for clocks that run at
	// different rates.
	marginShare = 8
	// renewShare is the part of Remember after which a claim is renewed.
	renewShare = 4
)

// Config sets up a Machine. Zero values mean the defaults, where there are any.
type Config struct {
	Self member.ID
	// Life tells this process from every other that bore the name.
	Life member.Incarnation
	// Copies is the number of homes of a key. All nodes have the same.
	Copies int
	// Remember is how long homes remember a claim after its last sign of life,
	// and how long they grant nothing after a start. All nodes have the same.
	Remember time.Duration
	// DecideWithin bounds the time until a claim is decided.
	DecideWithin time.Duration
	// ResendEvery is the time between two askings of a silent home.
	ResendEvery time.Duration
	// MaxEntries bounds the claims that this node remembers as a home.
	MaxEntries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Copies, DefaultCopies)
	setDefault(&c.Remember, DefaultRemember)
	setDefault(&c.DecideWithin, DefaultDecideWithin)
	setDefault(&c.ResendEvery, DefaultResendEvery)
	setDefault(&c.MaxEntries, DefaultMaxEntries)
	return c
}

// margin is how much sooner a claimant gives a claim up than homes forget it,
// and how much longer a home waits after its start.
func (c Config) margin() time.Duration {
	return c.Remember / marginShare
}

// validFor is how long an acknowledged message keeps a claim valid.
func (c Config) validFor() time.Duration {
	return c.Remember - c.margin()
}

// renewEvery is the time between two renewals.
func (c Config) renewEvery() time.Duration {
	return c.Remember / renewShare
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

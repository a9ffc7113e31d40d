package claims

import (
	"cmp"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Defaults of Config.
const (
	// DefaultHomesPerKey is the number of homes of a key.
	DefaultHomesPerKey = 3
	// DefaultRetention is how long a key is remembered.
	DefaultRetention = time.Minute
	// DefaultDecisionTimeout bounds the time until a claim is decided.
	DefaultDecisionTimeout = 250 * time.Millisecond
	// DefaultResendInterval is the time between two messages to a home that does not
	// reply.
	DefaultResendInterval = 60 * time.Millisecond
	// DefaultMaxEntries bounds what a home remembers.
	DefaultMaxEntries = 1 << 18
)

const (
	// marginDivisor is the fraction of the retention that allows for clocks that run at
	// different rates: an eighth.
	marginDivisor = 8
	// renewDivisor is the fraction of the retention after which a claim is renewed: a
	// quarter.
	renewDivisor = 4
)

// Config sets up a Machine. Zero values mean the defaults, where there are any.
type Config struct {
	Self member.ID
	// Incarnation distinguishes this process from every other that had the name.
	Incarnation member.Incarnation
	// HomesPerKey is the number of homes of a key. All nodes have the same.
	HomesPerKey int
	// Retention is how long homes remember a claim after its last renewal, and, but for
	// a margin, how long they grant nothing after a start. All nodes have the same.
	Retention time.Duration
	// DecisionTimeout bounds the time until a claim is decided.
	DecisionTimeout time.Duration
	// ResendInterval is the time between two messages to a home that does not reply.
	ResendInterval time.Duration
	// MaxEntries bounds the claims that this node remembers as a home.
	MaxEntries int
}

func (c Config) withDefaults() Config {
	c.HomesPerKey = cmp.Or(c.HomesPerKey, DefaultHomesPerKey)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.DecisionTimeout = cmp.Or(c.DecisionTimeout, DefaultDecisionTimeout)
	c.ResendInterval = cmp.Or(c.ResendInterval, DefaultResendInterval)
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	return c
}

// clockMargin is how much sooner a claimant gives a claim up than homes forget it,
// and how much longer a home waits after its start.
func (c Config) clockMargin() time.Duration {
	return c.Retention / marginDivisor
}

// validFor is how long an acknowledged message keeps a claim valid.
func (c Config) validFor() time.Duration {
	return c.Retention - c.clockMargin()
}

// renewInterval is the time between two renewals.
func (c Config) renewInterval() time.Duration {
	return c.Retention / renewDivisor
}

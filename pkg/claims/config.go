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
	// DefaultRetention is how long a claim is remembered after its last renewal.
	DefaultRetention = time.Minute
	// DefaultDecisionTimeout bounds the time until a claim is decided.
	DefaultDecisionTimeout = 250 * time.Millisecond
	// DefaultResendInterval is the time between two messages to a home that has not
	// granted a claim.
	DefaultResendInterval = 60 * time.Millisecond
	// DefaultMaxEntries is the maximum number of claims that a home remembers.
	DefaultMaxEntries = 1 << 18
)

const (
	// marginDivisor is the retention divided by the margin. The margin, an eighth of the
	// retention, allows for clocks that run at different rates.
	marginDivisor = 8
	// renewDivisor is the retention divided by the time between two renewals, which is a
	// quarter of the retention.
	renewDivisor = 4
)

// Config configures a Machine. A zero value is replaced by the default, if there is one.
type Config struct {
	Self member.ID
	// Incarnation distinguishes this process from all others that ran under the same ID.
	Incarnation member.Incarnation
	// HomesPerKey is the number of homes of a key. It must be the same on all nodes.
	HomesPerKey int
	// Retention is how long homes remember a claim after its last renewal. After a start,
	// they grant no new claims for this time plus a margin of an eighth of it. It must be
	// the same on all nodes.
	Retention time.Duration
	// DecisionTimeout bounds the time until a claim is decided.
	DecisionTimeout time.Duration
	// ResendInterval is the time between two messages to a home that has not granted a
	// claim.
	ResendInterval time.Duration
	// MaxEntries is the maximum number of claims that this node remembers as a home.
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

// clockMargin returns the margin for clocks that run at different rates. The validity of a
// claim ends by this much before its homes forget it, and after its start a home waits for
// this much longer than the retention.
func (c Config) clockMargin() time.Duration {
	return c.Retention / marginDivisor
}

// validFor returns how long a claim is valid after the sending of a request or renewal that a
// majority acknowledges.
func (c Config) validFor() time.Duration {
	return c.Retention - c.clockMargin()
}

// renewInterval returns the time between two renewals.
func (c Config) renewInterval() time.Duration {
	return c.Retention / renewDivisor
}

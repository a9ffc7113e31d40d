package dataplane

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// Defaults of Options.
const (
	// DefaultMaxBodyBytes bounds a caller's body.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxResponseBytes bounds an answer that is read whole.
	DefaultMaxResponseBytes = 16 << 20
	// DefaultRequestTimeout bounds a request whose destination sets no bound.
	DefaultRequestTimeout = 60 * time.Second
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultBackendRetry is when a caller may come back after a failure of a
	// back end.
	DefaultBackendRetry = time.Second
	// DefaultDrainTimeout bounds the time in which a stopping node finishes.
	DefaultDrainTimeout = 20 * time.Second
	// DefaultEventTimeout is the longest time without an event of a back end.
	DefaultEventTimeout = 15 * time.Second
	// DefaultViewInterval is the time between two looks at the newest view by
	// the feeds.
	DefaultViewInterval = 200 * time.Millisecond
	// DefaultRememberedRequests bounds the finished requests whose identity
	// is remembered.
	DefaultRememberedRequests = 1 << 16
	// DefaultRememberFor is how long their identity is remembered.
	DefaultRememberFor = 10 * time.Minute
	// DefaultConcurrentRequests bounds the requests that run on a node.
	DefaultConcurrentRequests = 8192
	// DefaultReservedRequests is how many of these are kept for tenants that
	// hold less than their fair share.
	DefaultReservedRequests = DefaultConcurrentRequests / 8
	// DefaultQueuedRequests is how many requests of a tenant may wait for a
	// node that is full, unless the tenant's own queue is longer.
	DefaultQueuedRequests = 1024
	// DefaultQueueTimeout is how long they may, unless the tenant's own bound
	// is longer.
	DefaultQueueTimeout = 5 * time.Second
)

// defaultAdmission is the bound of a node that sets none.
var defaultAdmission = admission.Options{
	Concurrent:   DefaultConcurrentRequests,
	Reserved:     DefaultReservedRequests,
	Queued:       DefaultQueuedRequests,
	QueueTimeout: DefaultQueueTimeout,
}

// Options set up a Server. Zero values mean the defaults, where there are any.
type Options struct {
	// Node is the node's name.
	Node string
	// Member is this node's identity among the nodes.
	Member member.ID
	// Zone is the zone that the node stands in.
	Zone string
	// Peers returns the live nodes that serve callers, this one included. It may
	// be nil for a node that stands alone.
	Peers func() []member.Info
	// Address is the host and port to listen on.
	Address string
	// Source is where control state comes from.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Log takes what is worth telling; never a line for each request.
	Log *logrus.Entry
	// RecordFile is where requests are recorded; empty for no recording. What is
	// in the file stays.
	RecordFile string
	// Edges are the protocols of callers and back ends; those that are nil mean
	// the node's own.
	Edges Edges
	// Router configures the choice of replicas.
	Router kvrouter.Options
	// Admission bounds the requests that run on this node at a time, and says
	// how tenants wait for a place.
	Admission admission.Options
	// Outlier configures how back ends that fail are noticed and avoided.
	Outlier outlier.Options
	// RetryBudget bounds the retries of each destination.
	RetryBudget retrybudget.Options
	// Claims decide among all nodes who runs a request that must not run
	// twice; nil leaves that to this node's own register.
	Claims Claims
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64
	// MaxResponseBytes bounds an answer that is read whole before any of it is
	// handed on, and one event of a streamed answer.
	MaxResponseBytes int64
	// RequestTimeout bounds a request whose destination sets no bound.
	RequestTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxUnsent is how many attempts that could not be sent do not count among
	// these.
	MaxUnsent int
	// BackendRetry is when a caller may come back after a failure of a back end.
	BackendRetry time.Duration
	// DrainTimeout bounds the time in which a stopping node finishes.
	DrainTimeout time.Duration
	// EventTimeout is the longest time without an event of a back end.
	EventTimeout time.Duration
	// ViewInterval is the time between two looks at the newest view by the
	// feeds.
	ViewInterval time.Duration
	// RememberedRequests bounds the finished requests whose identity is
	// remembered.
	RememberedRequests int
	// RememberFor is how long their identity is remembered.
	RememberFor time.Duration
}

// withDefaults returns the options with zero values replaced, or says which
// required one is missing.
func (o Options) withDefaults() (Options, error) {
	if o.Source == nil {
		return o, errors.New("dataplane: Options.Source is missing: give the control state to serve by")
	}
	if o.Clock == nil {
		return o, errors.New("dataplane: Options.Clock is missing: give a clock that counts suspended time")
	}
	if o.Address == "" {
		return o, errors.New("dataplane: Options.Address is missing: give the host and port to listen on")
	}
	if o.Log == nil {
		o.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	if o.Peers == nil {
		self := []member.Info{{ID: o.Member, Zone: o.Zone}}
		o.Peers = func() []member.Info { return self }
	}
	setDefault(&o.Router.Name, o.Node)
	setDefault(&o.Admission, defaultAdmission)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.BackendRetry, DefaultBackendRetry)
	setDefault(&o.DrainTimeout, DefaultDrainTimeout)
	setDefault(&o.EventTimeout, DefaultEventTimeout)
	setDefault(&o.ViewInterval, DefaultViewInterval)
	setDefault(&o.RememberedRequests, DefaultRememberedRequests)
	setDefault(&o.RememberFor, DefaultRememberFor)
	return o, nil
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

package dataplane

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/dispatch"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
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
	// DefaultMaxResponseBytes bounds a buffered response.
	DefaultMaxResponseBytes = 16 << 20
	// DefaultRequestTimeout is the time-out of requests to a destination without one.
	DefaultRequestTimeout = 60 * time.Second
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultBackendRetry is when a caller may retry after a failure of a back end.
	DefaultBackendRetry = dispatch.DefaultBackendRetry
	// DefaultDrainTimeout is the longest graceful shutdown.
	DefaultDrainTimeout = 20 * time.Second
	// DefaultEventTimeout is the longest time without an event of a back end.
	DefaultEventTimeout = 15 * time.Second
	// DefaultViewInterval is the time between two looks at the newest view.
	DefaultViewInterval = 200 * time.Millisecond
	// DefaultRememberedRequests bounds the finished requests whose identity is
	// remembered.
	DefaultRememberedRequests = 1 << 16
	// DefaultRememberFor is how long their identity is remembered.
	DefaultRememberFor = 10 * time.Minute
	// DefaultConcurrentRequests bounds the requests that run on a node at a time.
	DefaultConcurrentRequests = 8192
	// DefaultReservedRequests is how many of these are reserved for tenants below their
	// fair share.
	DefaultReservedRequests = DefaultConcurrentRequests / 8
	// DefaultQueuedRequests is how many requests of a tenant may be queued for a node at
	// capacity, unless the tenant's own queue is longer.
	DefaultQueuedRequests = 1024
	// DefaultQueueTimeout is how long they may be queued, unless the tenant's own bound
	// is longer.
	DefaultQueueTimeout = 5 * time.Second
)

// defaultAdmission is the admission of a node that configures none.
var defaultAdmission = admission.Options{
	Concurrent:   DefaultConcurrentRequests,
	Reserved:     DefaultReservedRequests,
	Queued:       DefaultQueuedRequests,
	QueueTimeout: DefaultQueueTimeout,
}

// Options configure a Server. Zero values mean the defaults, where there are any.
type Options struct {
	// Node is the node's name.
	Node string
	// Member is this node's identity among the nodes.
	Member member.ID
	// Zone is the zone that the node is in.
	Zone string
	// Peers returns the live nodes that serve callers, including this one. Nil means that
	// this node is the only one.
	Peers func() []member.Info
	// Address is the host and port to listen on.
	Address string
	// Source provides control state.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Log gets messages for operators, never one for each request.
	Log *logrus.Entry
	// RecordFile is the file to which requests are recorded; empty for no recording.
	// Records are appended to what it holds.
	RecordFile string
	// Edges are the protocols of callers and back ends; those that are nil mean the
	// native ones.
	Edges Edges
	// Router configures the choice of replicas.
	Router kvrouter.Options
	// Admission bounds the requests that run on this node at a time, and configures the
	// queues of tenants.
	Admission admission.Options
	// Outlier configures the detection and ejection of back ends that fail.
	Outlier outlier.Options
	// RetryBudget bounds the retries of each destination.
	RetryBudget retrybudget.Options
	// Claims decide among all nodes which of them runs a request that must not run twice;
	// nil leaves that to this node's own register.
	Claims claimer.Claims
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64
	// MaxResponseBytes bounds a response that is buffered before any of it is relayed,
	// and one event of a streamed response.
	MaxResponseBytes int64
	// RequestTimeout is the time-out of requests to a destination without one.
	RequestTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxUnsent is how many attempts that could not be sent are not counted among these.
	MaxUnsent int
	// BackendRetry is when a caller may retry after a failure of a back end.
	BackendRetry time.Duration
	// DrainTimeout is the longest graceful shutdown.
	DrainTimeout time.Duration
	// EventTimeout is the longest time without an event of a back end.
	EventTimeout time.Duration
	// ViewInterval is the time between two looks at the newest view.
	ViewInterval time.Duration
	// RememberedRequests bounds the finished requests whose identity is remembered.
	RememberedRequests int
	// RememberFor is how long their identity is remembered.
	RememberFor time.Duration
}

// withDefaults returns the options with zero values replaced, or an error that names the
// required one that is missing.
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

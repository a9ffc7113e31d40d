package dataplane

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/dispatch"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// Defaults of Options.
const (
	// DefaultMaxBodyBytes bounds the body of a caller's request.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxResponseBytes bounds a buffered response.
	DefaultMaxResponseBytes = 16 << 20
	// DefaultRequestTimeout is the time-out of requests to a destination that configures
	// none.
	DefaultRequestTimeout = 60 * time.Second
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultBackendRetry is the time after which a caller may retry if no back end was
	// available or a back end refused the request.
	DefaultBackendRetry = dispatch.DefaultBackendRetry
	// DefaultEventTimeout is the longest time without an event on a back end's stream.
	DefaultEventTimeout = 15 * time.Second
	// DefaultViewInterval is the interval at which the newest view is read.
	DefaultViewInterval = 200 * time.Millisecond
	// DefaultRememberedRequests bounds the finished requests whose IDs are stored to detect
	// duplicates.
	DefaultRememberedRequests = 1 << 16
	// DefaultRememberFor is how long the ID of a finished request is stored.
	DefaultRememberFor = 10 * time.Minute
	// DefaultConcurrentRequests bounds the requests that run on a node at a time.
	DefaultConcurrentRequests = 8192
	// DefaultReservedRequests is how many of the DefaultConcurrentRequests are reserved for
	// tenants below their fair share.
	DefaultReservedRequests = DefaultConcurrentRequests / 8
	// DefaultQueuedRequests is how many requests of a tenant may be queued for a node at
	// capacity, unless the tenant's own queue is longer.
	DefaultQueuedRequests = 1024
	// DefaultQueueTimeout is how long a request may be queued for a node at capacity, unless
	// the tenant's own queue time-out is longer.
	DefaultQueueTimeout = 5 * time.Second
)

// defaultAdmission is the admission of a node that configures none.
var defaultAdmission = admission.Options{
	Concurrent:   DefaultConcurrentRequests,
	Reserved:     DefaultReservedRequests,
	Queued:       DefaultQueuedRequests,
	QueueTimeout: DefaultQueueTimeout,
}

// Options configure a Server. A zero value means the default, if there is one.
type Options struct {
	// Node is the node's name.
	Node string
	// Member is the ID of this node in the membership.
	Member member.ID
	// Zone is the zone that the node is in.
	Zone string
	// Peers returns the live nodes that serve callers, including this one. Nil means that
	// this node is the only one.
	Peers func() []member.Info
	// Address is the host and port to listen on.
	Address string
	// Source provides the state of the control plane.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Log receives messages for operators, but none per request.
	Log *logrus.Entry
	// RecordFile is the file to which records of requests are appended; empty for no
	// recording.
	RecordFile string
	// Edges implement the protocols of callers and back ends; nil fields mean the native
	// protocols.
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
	// Claims decide which of all nodes runs a request that must not run twice. If Claims is
	// nil, only duplicates that reach this same node are detected.
	Claims claimer.Claims
	// Inbound bounds what callers may make the node hold. Nil means a budget for this server
	// alone, sized by the computer's memory.
	Inbound *inbound.Budget
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// MaxResponseBytes bounds a response that is buffered before any of it is relayed,
	// and one event of a streamed response.
	MaxResponseBytes int64
	// RequestTimeout is the time-out of requests to a destination that configures none.
	RequestTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxUnsent is how many attempts that could not be sent a request may have beyond
	// MaxAttempts.
	MaxUnsent int
	// BackendRetry is the time after which a caller may retry if no back end was available
	// or a back end refused the request. A longer time given by the back end replaces it.
	BackendRetry time.Duration
	// EventTimeout is the longest time without an event on a back end's stream.
	EventTimeout time.Duration
	// ViewInterval is the interval at which the newest view is read.
	ViewInterval time.Duration
	// RememberedRequests bounds the finished requests whose IDs are stored to detect
	// duplicates.
	RememberedRequests int
	// RememberFor is how long the ID of a finished request is stored.
	RememberFor time.Duration
}

// withDefaults returns the options with zero values replaced by defaults, or an error that
// names the required option that is missing.
func (o Options) withDefaults() (Options, error) {
	if o.Source == nil {
		return o, errors.New("dataplane: Options.Source is missing: set it to the source of control state")
	}
	if o.Clock == nil {
		return o, errors.New("dataplane: Options.Clock is missing: set it to a clock that counts suspended time")
	}
	if o.Address == "" {
		return o, errors.New("dataplane: Options.Address is missing: set it to the host and port to listen on")
	}
	if o.Log == nil {
		o.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	if o.Peers == nil {
		self := []member.Info{{ID: o.Member, Zone: o.Zone}}
		o.Peers = func() []member.Info { return self }
	}
	if o.Inbound == nil {
		o.Inbound = inbound.NewBudget(inbound.LimitsOf(inbound.Machine{}))
	}
	setDefault(&o.Router.Name, o.Node)
	setDefault(&o.Admission, defaultAdmission)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.BackendRetry, DefaultBackendRetry)
	setDefault(&o.EventTimeout, DefaultEventTimeout)
	setDefault(&o.ViewInterval, DefaultViewInterval)
	setDefault(&o.RememberedRequests, DefaultRememberedRequests)
	setDefault(&o.RememberFor, DefaultRememberFor)
	return o, nil
}

// setDefault replaces a zero value by the fallback.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

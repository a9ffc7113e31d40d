package checker

import "time"

// Bounds of the rules.
const (
	// RevocationBound is how long after the acknowledgement a revoked key may
	// still start a request.
	RevocationBound = 2 * time.Second
	// ServedBound is how long after the acknowledgement a node may still
	// serve an older configuration.
	ServedBound = 2 * time.Second
	// DrainingBound is how long a replica may get requests after the
	// platform's list shows it draining.
	DrainingBound = 3 * time.Second
	// EvacuationBound is how long a zone may get requests after the
	// acknowledgement of its evacuation.
	EvacuationBound = 5 * time.Second
	// WeightsBound is the time without faults and operator changes (see
	// Records.Calm) within which an ordered weight version reaches every replica.
	WeightsBound = 15 * time.Second
	// OutageBound is how long a service may give no complete answer after any
	// failure.
	OutageBound = 12 * time.Second
	// MaxRetryRatio bounds the retries to a pool as a share of its first
	// attempts.
	MaxRetryRatio = 0.2
	// RetryWindow is the length of the windows in which retries are counted.
	RetryWindow = 10 * time.Second
	// MinWindowAttempts is the number of first attempts below which a window
	// is too small to judge: a single retry that a node decided just outside the
	// window would change the ratio of such a window by more than a tenth of
	// MaxRetryRatio. The whole run is judged at any size.
	MinWindowAttempts = 50
)

package dispatch

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// selector selects back ends for the requests to one kind of destination: pools or web
// services.
type selector interface {
	// selectTarget selects a back end for the next attempt of the request, or returns an
	// error if no back end is available. The caller must call finish on the target.
	selectTarget(r *pendingRequest) (target, *caller.Error)
}

// target is a back end selected for one attempt.
type target interface {
	// waitBeforeSend delays the attempt as long as that saves work: the back end may
	// currently be computing chunks for another request that this request needs as well. It
	// returns when the request's context ends.
	waitBeforeSend(r *pendingRequest)
	// address returns the address of the back end.
	address() string
	// stillEligible reports whether the newest view still permits to send the request to
	// the back end.
	stillEligible(r *pendingRequest) bool
	// tryAcquireSlowStart counts the attempt if the back end is in slow start, and
	// returns false if the back end's rate limit is exhausted.
	tryAcquireSlowStart() bool
	// send runs the attempt up to the header of its response.
	send(ctx context.Context, r *pendingRequest, attempt int) (edges.Response, error)
	// handleRefusal records that the back end has refused to run the attempt.
	handleRefusal(refusal *outbound.RefusedError)
	// hasSpareCapacity reports whether the back end is expected to have free slots, so that
	// a refusal is not explained by a lack of capacity.
	hasSpareCapacity() bool
	// expectedDelay returns the expected time to the first output; 0 if unknown.
	expectedDelay() time.Duration
	// withdrawn reports whether this node has withdrawn the attempt, because requests may
	// no longer begin on the back end.
	withdrawn() bool
	// firstOutput records that the output of a streamed response has started. It is not
	// called for other responses: their output starts at an unknown time, since the header
	// may arrive at any time before the end.
	firstOutput(r *pendingRequest)
	// finish ends the attempt, sent or not. It must be called once for every target.
	finish(completed bool)
}

// recordWrongTarget records that a back end has refused a request because the request was
// meant for another back end. If this shows that the expected incarnation is gone, it also
// queues an update for the other nodes.
func (o *Options) recordWrongTarget(replica routing.Replica, refusal *outbound.RefusedError) {
	if o.StaleBackends.RecordRefusal(o.Clock(), replica, refusal.Instance) {
		o.Updates.AddGoneInstance(gossip.GoneInstance{Address: replica.Address, Instance: replica.Instance})
	}
}

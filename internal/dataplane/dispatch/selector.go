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

// selector selects back ends for the requests of one kind of destination: of pools, or of
// web services.
type selector interface {
	// selectTarget selects a back end for the next attempt of the request, or returns why
	// there is none. The caller must call finish on the target.
	selectTarget(r *pendingRequest) (target, *caller.Error)
}

// target is a back end chosen for one attempt.
type target interface {
	// waitBeforeSend delays the attempt while that makes it cheaper: another request may
	// just be computing the chunks that this one needs. It ends with the request's context.
	waitBeforeSend(r *pendingRequest)
	// address returns where the attempt goes.
	address() string
	// stillEligible reports whether the newest view still lets the request go there.
	stillEligible(r *pendingRequest) bool
	// tryAcquireSlowStart counts the attempt if the back end is in slow start, and
	// returns false if it takes no more now.
	tryAcquireSlowStart() bool
	// send runs the attempt up to the header of its response.
	send(ctx context.Context, r *pendingRequest, attempt int) (edges.Response, error)
	// handleRefusal is called when the back end has refused to run the attempt.
	handleRefusal(refusal *outbound.RefusedError)
	// hasSpareCapacity reports whether the back end certainly has free slots, so that it
	// did not refuse for lack of them.
	hasSpareCapacity() bool
	// expectedDelay returns the expected time to the first output; 0 if it is not known.
	expectedDelay() time.Duration
	// firstOutput is called when a streamed response has started. The start of other
	// responses is not known: the header may come at any time before the end.
	firstOutput()
	// finish ends the attempt, sent or not. It must be called once for every target.
	finish(completed bool)
}

// recordWrongTarget records that a back end has refused a request as meant for another
// one, and tells the other nodes if the incarnation is gone for good.
func (o *Options) recordWrongTarget(replica routing.Replica, refusal *outbound.RefusedError) {
	if o.StaleBackends.RecordRefusal(o.Clock(), replica, refusal.Instance) {
		o.Updates.AddGoneInstance(gossip.GoneInstance{Address: replica.Address, Instance: replica.Instance})
	}
}

// Package requests forwards operators' requests to the leader of the configuration and
// returns the replies. A request is a change of the configuration, or a read that a quorum
// confirms.
//
// Client runs on the node that received a request. It owns the requests without a reply,
// sends each to the supposed leader repeatedly until it is answered or times out, and
// collects the replies. Leader runs on the node that leads the configuration. It owns the
// committed changes that wait until every serving node has confirmed them, the rejections
// with which it answers late copies of rejected changes, and the reads that wait for a
// quorum.
//
// A change that carries a whole configuration is large. The leader evaluates it before it
// proposes it, so that a change that is refused, or was accepted before, is answered without
// an entry in the log. For this, configurationChanges queues such changes: each waits until
// the one before it is applied.
//
// A change is acknowledged only when no node can serve an older revision any more. A change
// that is not confirmed in time is answered as pending, since it may still take effect.
// LeaderConfig.AcknowledgeUnconfirmedAfter lifts this rule where nodes serve while
// partitioned.
//
// A request keeps its number when it is sent again, so that one leader handles it once. If
// the leader fails meanwhile, the next leader receives the repeated request and appends the
// order again. The replicated state identifies an order by its order ID, so that the order
// takes effect once and gets the answer that it got first.
//
// Neither type does I/O, reads a clock or is safe for concurrent use.
package requests

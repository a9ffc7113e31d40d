// Package requests carries operators' requests, which are changes of the configuration
// and reads that a quorum confirms, to the leader of the configuration and back.
//
// Client is the side of the node that took a request: it owns the requests without a
// reply, sends each to the supposed leader again and again until it is answered or
// times out, and gathers the replies. Leader is the side of the leader: it owns the
// changes that are committed and wait until every serving node has confirmed them, the
// rejections that late copies of a request are to get again, and the reads that wait
// for a quorum.
//
// A change that carries a whole configuration is large. The leader judges it before it is
// proposed: configurationChanges holds those that wait for the one before them, so that what
// is refused, or was accepted before, is answered without an entry in the log.
//
// A change is acknowledged only when no node can serve an older revision any more; one
// that is not confirmed in time is answered as pending, since it may still take effect.
// A request keeps its number when it is repeated, so that one leader works on it once. If
// the leader is lost meanwhile, the next one gets the repeated request and appends the order
// again. The replicated state knows an order by its identity, so that it takes effect once
// and gets its first answer.
//
// Neither type does I/O, reads a clock or is safe for concurrent use.
package requests

// Package replicaload estimates the load of one replica, in tokens and requests, from
// four sources:
//
//	source                                  type          properties
//	requests of this router                 history       exact and immediate
//	uncomputed prompts of these requests    prefillQueue  an estimate that shrinks with time
//	loads that other routers sent           sharedLoads   at most a second old
//	reports of the replica                  Tracker       late, and include all routers' work
//
// Tracker combines them. A report is compared with the local load at the instant that the
// report describes, not with the present local load: otherwise work that was dispatched
// since would be subtracted, and work that ended since would be attributed to other
// routers.
//
// The package reads no clock and does not estimate a replica's speed: callers pass the
// time, and pass the time per token to Tracker.Drain. A Tracker is not safe for concurrent
// use; the router's lock guards it.
package replicaload

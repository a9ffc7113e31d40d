// Package replicaload estimates the load of one replica, in tokens and requests, from
// all that a router knows of it.
//
//	source                                  owner         what it is
//	requests of this router                 history       exact and immediate
//	prompts of these still to be computed   prefillQueue  an estimate that shrinks with time
//	loads that other routers sent           sharedLoads   at most a second old
//	what the replica reported               Tracker       late, and of all routers' work
//
// Tracker combines them. A report is compared with the local load at the instant that it
// describes, not with the present one: otherwise work that was dispatched since would be
// subtracted, and work that ended since would be attributed to other routers.
//
// The package reads no clock and knows nothing of a replica's speed: Tracker.Drain is
// told how fast the replica computes. A Tracker is not safe for concurrent use; the
// router's lock guards it.
package replicaload

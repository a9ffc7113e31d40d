// Package kvrouter chooses the replica that a request runs on, by what the
// replicas already cache of its prompt and by how loaded they are, and plans what
// the replica pulls from a peer or the store instead of computing it.
//
// # Structure
//
// Router is the only entry. Each part of it owns its state:
//
//	state                                          owner
//	chunks that each owner caches, is predicted    prefixindex.Index
//	to cache, or will cache soon (pending)
//	sequence and incarnation of an owner's         cachefeed.Feed
//	reports, whether some were lost
//	load of a replica: local requests, reports,    replicaload.Tracker
//	loads of other routers
//	speeds of replicas, pools and links            estimators of internal/speed, held by
//	                                               replicaState and the cost models
//	replicas and stores by address, their          registry, with a replicaState each
//	handles in the index (prefixindex.Owner)
//	pulls in progress from an owner                replicaState
//	when slow start began                          slowStart
//	prompts that came lately                       recentHashes
//	load of one attempt                            Reservation
//	memory of one selection                        scratch
//
// A costModel scores the candidates, plans pulls, and learns from first tokens. There
// are two: blockModel counts blocks of tokens; timeModel, for pools with an
// EngineProfile, estimates the replicas' own time, and plans waits for a prefix and
// saves to the store as well. They, their pulls (block_pull.go, time_pull.go) and
// Reservation stay in this package: all of them work on Request, Candidate and
// replicaState within one selection, under one lock, so that packages of their own
// would export these for each other and nobody else.
//
// # A selection
//
// Router.Select (select.go) looks up the overlaps of the prompt with what each owner
// caches, under each weight version of the candidates, without the router's lock
// (prompt.go). Under the lock, the cost model of the request
//
//  1. gathers the owners that chunks may be pulled from (gatherSources),
//  2. scores each candidate, with the pull and the wait that would be best for it
//     (score, scoreOne, planPull, planWait),
//  3. takes the one with the lowest cost (ranking.go),
//  4. reserves its load (reserve).
//
// FirstToken and Finish of the Reservation (reservation.go) release the load. At the first
// token the cost model learns from the time it took (endPrefill), and the replica is
// predicted to cache the prompt until its report comes (reports.go).
//
// # Concurrency
//
// All methods of Router, Reservation and PrefixWait may be called concurrently.
// Router states which lock guards what.
//
// The package reads no clock, starts no goroutine and does no I/O. Time comes in as
// the time elapsed on a clock that counts suspended time.
//
// The method is that of "Dynamo's KV Router"; docs/KV_ROUTING.md says what is kept
// of it, what differs, and why.
package kvrouter

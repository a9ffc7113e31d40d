// Package kvrouter selects the replica that runs a request, by how much of the prompt's
// KV state each replica already caches and by the replicas' load. It also plans the
// chunks that the replica pulls from a peer or from the store instead of computing them.
//
// # Structure
//
// Router is the entry point of the package. An owner is a replica or store that caches
// chunks of prompts. The state is divided as follows:
//
//	state                                          held by
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
//	start of the slow start                        slowStart
//	recently requested prompts                     recentHashes
//	load of one attempt                            Reservation
//	memory of one selection                        scratch
//
// A costModel scores the candidates, plans pulls, and updates its speed estimates at first
// tokens. There are two implementations: blockModel counts blocks of tokens; timeModel, for
// pools with an EngineProfile, estimates times at the replicas, and also plans waits for a
// prefix and saves to the store. The cost models, their pull planning (block_pull.go,
// time_pull.go) and Reservation are in one package because all of them work on Request,
// Candidate and replicaState within one selection, under one lock: separate packages would
// have to export these types only for each other.
//
// # A selection
//
// Router.Select (select.go) first hashes the prompt under each weight version of the
// candidates and looks up how much of it each owner caches. This needs no lock of the
// router (prompt.go). Then, under the router's lock, the cost model of the request
//
//  1. collects the owners that chunks may be pulled from (gatherSources),
//  2. scores each candidate with the best pull and wait for it
//     (score, scoreOne, planPull, planWait),
//  3. takes the candidate with the lowest cost (ranking.go),
//  4. reserves the request's load on it (reserve).
//
// FirstToken and Finish of the Reservation (reservation.go) release the load. At the first
// token the cost model updates its speed estimates from the elapsed time (endPrefill), and
// the router predicts that the replica caches the prompt until the replica's own report
// arrives (reports.go).
//
// # Concurrency
//
// All methods of Router, Reservation and PrefixWait may be called concurrently.
// The comment of Router states which lock guards which state.
//
// The package reads no clock, starts no goroutine and does no I/O. Callers pass the current
// time as the time elapsed on a clock that also runs while the machine is suspended.
//
// The method follows "Dynamo's KV Router"; docs/KV_ROUTING.md states what was adopted,
// what differs, and why.
package kvrouter

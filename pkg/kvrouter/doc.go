// Package kvrouter chooses the replica that a request runs on, by what the
// replicas already cache of its prompt and by how loaded they are, and plans what
// the replica pulls from a peer or the store instead of computing it.
//
// # Structure
//
// Router is the only entry. It composes parts that each own their state:
//
//   - registry: the replicas and stores by address, and their handles (Owner) in the
//     index. Each has a replicaState.
//   - kvevents.Feed, one for each owner: brings the owner's reports into the prefix
//     index in order, and detects restarts and losses.
//   - replicaload.Tracker, one for each replica: this router's reservations, the
//     replica's reports, and the loads that other routers sent.
//   - blockModel and timeModel: the cost models. A request with an EngineProfile is
//     scored in the replicas' own time, one without in blocks of tokens. Each scores
//     candidates, plans pulls, and learns speeds from first tokens; the estimators of
//     package speed have what was learned.
//   - Reservation: the load of one attempt, from its selection to its end.
//
// A selection goes through Select, lookUp (the overlaps of the prompt with what
// each owner caches) and chooseAndReserve, which calls one of the models.
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

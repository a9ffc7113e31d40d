// Package dataplane serves callers: it admits their requests, routes them by host and
// path to a pool of model replicas or to a web service, chooses a back end, runs attempts
// as the request's attempts.Tracker asks for them, and responds.
//
// # The way of a request
//
// Server.ServeHTTP makes an exchange.Exchange of each request and runs it through a chain of
// handlers, which newChain lists in their order (chain.go). A handler either refuses the
// request, which responds at once with a typed error, or calls the next one. Each is a
// package below handlers, with New and Handle. The last one is the Dispatcher of package
// dispatch. Package edges says what the protocols of callers and back ends must do.
//
// # What a node knows of back ends
//
// Cached chunks come from the back ends' event streams (feeds) or from their reports
// (reports), and from other nodes (gossip); knowledge.go joins these with the router's
// index, and viewFollower keeps them in line with the newest view.
//
// # State
//
// A Server owns all of it. From control it reads the newest routing.View, which is replaced
// as a whole and never written to, whether the node may serve, and the live nodes. Control
// reads the attempts in flight.
//
//	State                            Owner                          What may run concurrently
//	one request                      exchange.Exchange              its goroutine; while it is queued, one
//	                                                                more reads the body
//	its attempts                     dispatch (work)                its goroutine
//	newest view                      routing.Source                 everything; immutable
//	counters, retry budgets          destinations.Set               everything
//	rates, queues, node's slots      tenantlimiter.Limiter          everything
//	requests that ran lately         duplicates.Register            everything
//	attempts in flight               dispatch.Dispatcher            everything; InFlight for control
//	samples of weighted routes       routematcher.Handler           everything
//	index of chunks, loads           kvrouter.Router                everything
//	health, quarantine, stale ones   health                         everything
//	slow start                       warmup.Limiter                 everything
//	start-up gate                    startupgate.Gate               everything
//	updates for other nodes          gossip.Outgoing                everything
//	snapshots from and for others    gossip.SnapshotExchange        everything
//	event streams                    feeds.Manager                  one goroutine a back end
//	reports                          reports.Readers                one goroutine a back end
//	view followed last               viewFollower                   its goroutine
//	recording                        recorder.Recorder              everything; one goroutine writes
//	address and connections          listener.Listener              one goroutine a connection
//
// "Everything" is the goroutines of all requests, those of feeds and readers, and the
// callers of the Server's exported methods, which may be called concurrently.
//
// Each owner guards its state by a lock of its own. Where one calls another while it holds
// its lock, the order is: feeds.Manager, startupgate.Gate or gossip.SnapshotExchange first;
// then kvrouter.Router; then health and warmup, which the router asks about candidates
// during a selection. These two call no other owner.
//
// # Tests
//
// Specs of one package's logic stand beside it. Those of a request's whole way, with callers
// and back ends on sockets, stand here, whichever package decides: harness_test.go has their
// fixture.
package dataplane

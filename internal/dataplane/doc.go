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
// (reports), and from other nodes (gossip), into the router's index. updates.go exchanges
// them, loads and outcomes with the other nodes; viewReconciler keeps all in line with the
// newest view.
//
// # State
//
// A Server owns all of it. From control it reads the newest routing.View, which is replaced
// as a whole and never written to, whether the node may serve, and the live nodes. Control
// reads the attempts in flight.
//
//	State                            Owner                          Used by
//	one request                      exchange.Exchange              its goroutine; while it is queued, one
//	                                                                more, which reads the body
//	its attempts                     dispatch.pendingRequest        its goroutine
//	newest view                      routing.Source                 any goroutine; immutable
//	counters, retry budgets          destinations.Set               any goroutine
//	rates, queues, node's slots      tenantlimiter.Limiter          any goroutine
//	requests that ran lately         duplicates.Register            any goroutine
//	attempts in flight               dispatch.Dispatcher            any goroutine; control reads InFlight
//	samples of weighted routes       routematcher.Handler           any goroutine
//	index of chunks, loads           kvrouter.Router                any goroutine
//	health, quarantine, stale ones   health                         any goroutine
//	slow start                       warmup.Limiter                 any goroutine
//	start-up gate                    startupgate.Gate               any goroutine
//	updates for other nodes          gossip.Outgoing                any goroutine
//	snapshots from and for others    gossip.SnapshotExchange        any goroutine
//	event streams                    feeds.Manager                  one goroutine a back end
//	reports                          reports.Readers                one goroutine a back end
//	view followed last               viewReconciler                   its goroutine
//	recording                        recorder.Recorder              any goroutine; one writes the file
//	address and connections          listener.Listener              one goroutine a connection
//
// "Any goroutine" is one of a request, of a feed or of a reader, or of a caller of the
// Server's exported methods; many of them may use the state at the same time.
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

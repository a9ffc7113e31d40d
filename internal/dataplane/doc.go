// Package dataplane serves callers: it admits their requests, routes them by host and
// path to a pool of model replicas or to a web service, chooses a back end, runs attempts
// as the request's attempts.Tracker asks for them, and responds.
//
// # Processing of a request
//
// Server.ServeHTTP makes an exchange.Exchange of each request and runs it through a chain of
// handlers, whose order newChain (chain.go) defines. A handler either refuses the request and
// responds with a typed error, or calls the next handler. Each handler is a package below
// handlers, with New and Handle. The last one is the Dispatcher of package dispatch. Package
// edges defines the interfaces to the protocols of callers and back ends.
//
// # What a node knows about back ends
//
// The router's index of cached chunks is filled from the back ends' event streams (feeds) or
// from their reports (reports), and from other nodes (gossip). updates.go exchanges changes of
// the index, loads and outcomes of attempts with the other nodes. viewReconciler adapts feeds
// and other state to the newest view.
//
// # State
//
// A Server owns all state of the data plane. From the control plane it reads the newest
// routing.View, which is replaced as a whole and never modified, whether the node may serve,
// and the live nodes. The control plane reads the number of attempts in flight.
//
//	State                            Owner                          Used by
//	one request                      exchange.Exchange              the request's goroutine; while it is
//	                                                                queued, one more, which reads the body
//	attempts of one request          dispatch.pendingRequest        the request's goroutine
//	newest view                      routing.Source                 any goroutine; immutable
//	counters, retry budgets          destinations.Set               any goroutine
//	rates, queues, slots of the node tenantlimiter.Limiter          any goroutine
//	recent requests                  duplicates.Register            any goroutine
//	attempts in flight               dispatch.Dispatcher            any goroutine; the control plane reads
//	                                                                InFlight
//	sampling of weighted routes      routematcher.Handler           any goroutine
//	index of chunks, loads           kvrouter.Router                any goroutine
//	health, quarantine, staleness    health                         any goroutine
//	slow start                       warmup.Limiter                 any goroutine
//	start-up gate                    startupgate.Gate               any goroutine
//	updates for other nodes          gossip.OutgoingUpdates                any goroutine
//	snapshots from and for peers     gossip.SnapshotExchange        any goroutine
//	event streams                    feeds.Manager                  one goroutine per back end
//	reports                          reports.Readers                one goroutine per back end
//	view reconciled last             viewReconciler                 its goroutine
//	recording                        recorder.Recorder              any goroutine; one writes the file
//	address and connections          listener.Listener              one goroutine per connection
//
// "Any goroutine" means the goroutine of a request, of a feed, of a reader or of a caller of
// the Server's exported methods; many of them may use the state at the same time.
//
// Each owner guards its state by its own lock. If an owner calls another one while it holds
// its lock, the order is: feeds.Manager, startupgate.Gate or gossip.SnapshotExchange first;
// then kvrouter.Router; then health and warmup, which the router asks about candidates
// during a selection. Health and warmup call no other owner.
//
// # Tests
//
// Specs of the logic of one package are in that package. End-to-end specs, with callers and
// back ends on sockets, are in this package, whichever package they cover; harness_test.go
// contains their fixture.
package dataplane

// Package dataplane serves callers: it admits their requests, routes them by host and
// path to a pool of model replicas or to a web service, chooses a back end, runs attempts
// as the request's attempts.Tracker asks for them, and responds.
//
// Each request passes a chain of handlers, listed in chain.go. A handler either refuses
// the request, which responds at once with a typed error, or calls the next one; the last
// one is the dispatcher. An exchange is one request on its way, and belongs to one
// goroutine.
//
// A Server owns the parts, most of them in packages of their own: admission
// (tenant_limiter.go over pkg/admission), duplicates, dispatch and retries (dispatch.go,
// pool_backend.go, web_backend.go), health, warmup, feeds, the report readers, gossip
// (updates to and snapshots from other nodes), recorder and listener. Each guards its own
// state. Control state is read only through routing.Source, whose views are immutable.
// All exported methods of Server may be called concurrently.
//
// The handlers and the dispatcher share one package because they share the exchange: as
// packages they would export every field of it, and call each other through interfaces
// for every request. The report readers stay here since they join the snapshot exchange,
// the updates to other nodes and the start-up gate.
package dataplane

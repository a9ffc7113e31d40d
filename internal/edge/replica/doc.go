// Package replica implements the native protocol with a model replica: HTTP/1.1 with JSON.
// protocol.go declares the header names, paths and JSON shapes of the protocol.
//
// Client runs requests, EventClient reads the stream of cache events, and CommandClient requests
// reports and commands replicas to load weights. They have no state between calls but the
// connections of their sender, and may be used concurrently. A Response belongs to one goroutine,
// which closes it.
package replica

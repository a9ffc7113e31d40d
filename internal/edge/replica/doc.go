// Package replica speaks the product's own protocol with a model replica: HTTP/1.1
// with JSON. protocol.go holds all its header names, paths and JSON shapes, which no
// other package knows.
//
// Client runs requests, EventClient follows the stream of cache events, and
// CommandClient requests reports and commands the loading of weights. None of them
// keeps state between calls but the connections of its sender; all may be used
// concurrently. A Response belongs to one goroutine, which closes it.
package replica

// Package eventstream reads event streams (media type text/event-stream) of back ends, in the
// format of the HTML standard, section 9.2 "Server-sent events".
//
// What a back end sends is untrusted. A stream is split into complete events, and each event into
// the fields that all parsers of the standard see: input on which parsers differ, such as a carriage
// return that ends a line alone, is an error. Which fields an event must have is up to the
// protocol of the back end.
//
// A Reader belongs to one goroutine.
package eventstream

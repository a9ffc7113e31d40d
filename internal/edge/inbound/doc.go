// Package inbound bounds what clients can make a process hold: the connections that they open, the
// heads and bodies that they have sent, what is built of these, and the responses that they have
// not read.
//
// A process has one Budget, sized by the memory and the descriptors of its machine (LimitsOf), and
// a Listener for each of its ports, all of which share the budget. A Connection charges the budget
// for the head of its request as it arrives, ReadBody for the body, Parse for what is built of it,
// and ReadResponse for the response of a back end; everything is given back when the request has
// ended. A response that finds no room evicts nothing: it is left to the caller to relay it as it
// arrives.
//
// When the budget is spent, or a port has as many connections as it may, something is taken back
// from a connection whose request is incomplete: it is evicted. Of several, memory is taken from
// the one whose bytes times the time since its request began is greatest, and the connection is
// taken from the one that has waited longest. A crowd that stops just short of the end of its
// requests is therefore evicted before a request that arrives now. A complete request is never
// evicted; a new one is refused instead. Holders of few bytes may use a part of the budget that
// others may not (smallHolderBytes).
//
// A refusal says whether the request has run. A request is evicted or refused with status 503
// before it is complete, and then has not run and will not run; 431 refuses a head above the limit.
// A connection is closed without a response only if nothing of a request was read, or if its client
// does not read responses.
//
// Budget owns the charges and the lists of connections, under one mutex. A Connection is used by
// the HTTP server as any net.Conn; its own state is guarded by the same mutex, except what only the
// goroutine that reads uses. The turns to process large bodies and to parse content are channels
// that the goroutine of a request holds. No goroutine is started.
package inbound

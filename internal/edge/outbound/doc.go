// Package outbound sends one request to one back end, once.
//
// Go's HTTP transport sends a request again by itself when a kept-alive
// connection dies. That is made impossible here: every request carries a body
// that cannot be rewound, also when it is empty, and never a header that the
// transport reads as permission. When a request fails, the package tells
// whether any of its bytes may have left, which it learns from the connection
// itself: a connection counts the bytes that it is asked to write, and after a
// failure it is sealed, so that nothing can leave later.
//
// Client sends through go-zero's httpc, whose adaptive breaker is switched off:
// limits and retries are decided elsewhere. Direct keeps connections of its own
// instead, for back ends whose connections are not to be trusted between two
// requests, and for less processor time. Both own their connections until CloseIdle or the
// end of the last response, and may be used concurrently; a response belongs to one
// goroutine.
//
// Why a request must not be sent again unless it is known not to have run: RFC 9110,
// section 9.2.2.
package outbound

// Package outbound sends one request to one back end, at most once.
//
// A request must not be sent again unless it is known not to have run (RFC 9110, section
// 9.2.2). When a request fails, the package therefore reports whether any of its bytes may
// have been sent.
//
// Client sends through go-zero's httpc and net/http. The circuit breaker of httpc is
// disabled, since limits and retries are decided elsewhere. The transport of net/http
// retries a request by itself when a kept-alive connection fails. Client prevents that:
// every request gets a body that cannot be rewound, even an empty one, and no header that
// the transport treats as permission to retry. Each connection counts the writes to it, and
// is sealed after a failure, so that no byte is sent later.
//
// Direct manages its own connections instead of using net/http's transport. It is for back
// ends that may send unexpected bytes between two requests, and takes less processor time.
//
// Both clients own their connections until CloseIdle or the end of the last response, and
// may be used concurrently. A response belongs to one goroutine.
package outbound

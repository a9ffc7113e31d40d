// Package reports reads the reports of back ends on the chunks that they cache, page by
// page, and applies them to the router's prefix index.
//
// Each back end is read by exactly one live node, which rendezvous hashing selects
// (assignment.go). That node publishes each page that it reads to the other nodes. A node
// that has just started reads nothing until its membership is stable
// (stabilization_wait.go), and until a peer's snapshot of the index has arrived or is no
// longer expected. If it read earlier, it would read the reports of back ends that other
// nodes read, and would read them from their beginning.
//
// Readers runs one goroutine for each back end that it reads. The assignment belongs to the
// goroutine of Serve; the index and the limiter of full reads are safe for concurrent use.
package reports

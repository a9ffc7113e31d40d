// Package reports reads what back ends report of the chunks that they cache, page by page,
// and brings it into the router's prefix index.
//
// Of all live nodes exactly one reads a back end, by rendezvous weight (assignment.go), and
// publishes what it has read to the others. A node that has started reads nothing until its
// view of the live nodes is stable (stabilization_wait.go) and a peer's snapshot of the
// index has arrived or is given up: before, it would read the reports of back ends that
// others read, and from their beginnings.
//
// Readers has one goroutine for each back end that it reads. The assignment belongs to the
// goroutine of Serve; the index and the limit of full reads guard themselves.
package reports

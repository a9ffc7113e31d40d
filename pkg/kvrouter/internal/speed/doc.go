// Package speed estimates how fast pools, replicas and links are, from the time between
// requests and their first events.
//
//	estimator      of                                              used by
//	Prefill        the prefill speed of one replica                block cost model
//	Bandwidths     the bandwidth between two zones                 block cost model
//	Latency        the time of a pool's replicas to first events   time cost model
//	Slowness       one replica compared with its pool              time cost model
//	TransferLink   one owner's link for transfers                  time cost model
//
// Each estimator has its own observations and does not depend on the others. Without
// observations it returns the values that its caller assumes. None is safe for concurrent
// use: the router's lock guards them.
//
// The time to a first event is all that a router can measure. It includes the wait in
// queues that are not reported to the router. Latency and Slowness therefore weigh slow
// observations less than fast ones, and a TransferLink counts as slow only after several
// late transfers in a row.
package speed

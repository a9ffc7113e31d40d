package prefixindex

// QueuedExpiries counts the expiries that wait in the queue of predictions,
// those that renewals have overtaken included.
func QueuedExpiries(x *Index) int { return len(x.predicted.queue) }

// CollidingHash returns the number-th of many hashes that have the same home in
// a table of any size.
func CollidingHash(number uint32) ChainHash {
	// Both halves of the product are equal, so that mix makes the lower one 0.
	product := uint64(number)<<32 | uint64(number)
	inverse := uint64(mixFactor)
	for range 5 {
		inverse *= 2 - mixFactor*inverse
	}
	return ChainHash(product * inverse)
}

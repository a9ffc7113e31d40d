package prefixindex

// QueuedExpiries counts the expiries in the queue of predictions, including those that
// a renewal has superseded.
func QueuedExpiries(x *Index) int { return len(x.predicted.queue) }

// CollidingHash returns the number-th hash of a series whose hashes all have the same
// home slot in a table of any size.
func CollidingHash(number uint32) ChainHash {
	// Both halves of the product are equal, so that the lower half of the result of mix
	// is 0.
	product := uint64(number)<<32 | uint64(number)
	inverse := uint64(mixFactor)
	for range 5 {
		inverse *= 2 - mixFactor*inverse
	}
	return ChainHash(product * inverse)
}

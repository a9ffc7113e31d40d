package membership

// acksNeeded returns how many of a set's monitors must acknowledge for the member to
// serve. The majority counts the member itself as a monitor that always acknowledges, so
// that one of two monitors is enough. A single monitor can't fence: in a deployment of
// two nodes, the loss of one would stop both.
func acksNeeded(monitors int) int {
	if monitors < 2 {
		return 0
	}
	return (monitors + 1) / 2
}

// reportsNeeded returns the smallest number of monitors that leaves fewer than
// acksNeeded others. It exceeds the number of monitors if nothing can fence.
func reportsNeeded(monitors int) int {
	return monitors - acksNeeded(monitors) + 1
}

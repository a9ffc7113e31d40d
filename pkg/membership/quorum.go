package membership

// acksNeeded returns how many of a set's monitors must acknowledge heartbeats for the member
// to serve. The majority counts the member itself as a monitor that always acknowledges, so
// that one of two monitors is enough. A single monitor can't fence a member: otherwise, in a
// deployment of two nodes, the loss of one would stop both.
func acksNeeded(monitors int) int {
	if monitors < 2 {
		return 0
	}
	return (monitors + 1) / 2
}

// reportsNeeded returns how many of a set's monitors must report the member to make it
// certainly fenced: the smallest number that leaves fewer than acksNeeded monitors. It
// exceeds the number of monitors if the member can't be fenced.
func reportsNeeded(monitors int) int {
	return monitors - acksNeeded(monitors) + 1
}

package cachefeed

// Status is the outcome of an event or batch.
type Status int

// The outcomes of an event or batch.
const (
	// Accepted events are in the index, or buffered until an earlier one has come.
	Accepted Status = iota
	// Duplicate events were seen before.
	Duplicate
	// Stale events are of an earlier incarnation of the replica, or older than the
	// state that the index already has.
	Stale
	// Gap means that earlier events or changes were lost: ask the replica for a reset or
	// snapshot. What this one says is applied all the same.
	Gap
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Accepted:
		return "accepted"
	case Duplicate:
		return "duplicate"
	case Stale:
		return "stale"
	case Gap:
		return "gap"
	}
	return "unknown"
}

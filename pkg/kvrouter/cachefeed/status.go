package cachefeed

// Status is the outcome of an event, batch or snapshot.
type Status int

// The outcomes of an event, batch or snapshot.
const (
	// Accepted means that it was applied, or buffered until an earlier one arrives.
	Accepted Status = iota
	// Duplicate means that all of it was received before.
	Duplicate
	// Stale means that it is of an earlier incarnation of the owner, or older than the
	// state that the index already has.
	Stale
	// Gap means that earlier events or changes were lost, so that the caller should
	// request a reset or snapshot from the owner. The event or batch itself was accepted
	// nevertheless.
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

package listing

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// mergeWithin is how long after the reading in force one of another reader
	// may have begun and yet be older, since ages leave out the time on the way.
	mergeWithin = 2 * time.Second
	// warmUpJitter is by how much two readings of one warm-up may differ.
	warmUpJitter = 500 * time.Millisecond
)

// storedReading is the newest reading that this node has.
type storedReading struct {
	present bool
	version Version
	// readAt is when the reading began, on this node's clock, or a little before
	// the message with it arrived; readerReadAt is the same on the reader's clock.
	readAt       time.Duration
	readerReadAt time.Duration
	// receivedAt is when the reading reached this node.
	receivedAt time.Duration
	replicas   []Replica
	digest     uint64
}

// table is the table of replicas: it owns the newest reading and the list that the node
// uses.
type table struct {
	self      member.ID
	readEvery time.Duration
	current   storedReading
	// replicas is what the node uses, on its own clock, and changed whether that has
	// changed since it was last asked.
	replicas []Replica
	changed  bool
	// merged means that replicas is what the lists of two readers have in common,
	// and mergeUntil until when no list is used alone.
	merged     bool
	mergeUntil time.Duration
}

// publish puts this node's own reading in force.
func (t *table) publish(now, startedAt time.Duration, version Version, replicas []Replica) {
	listed := t.stabilizeWarmUp(sorted(inMilliseconds(replicas)))
	t.current = storedReading{
		present:      true,
		version:      version,
		readAt:       startedAt,
		readerReadAt: startedAt,
		receivedAt:   now,
		replicas:     listed,
		digest:       digestOf(listed),
	}
	t.use(listed)
}

// inMilliseconds rounds times to what travels.
func inMilliseconds(replicas []Replica) []Replica {
	rounded := slices.Clone(replicas)
	for position := range rounded {
		rounded[position].WarmingUntil = rounded[position].WarmingUntil.Truncate(time.Millisecond)
	}
	return rounded
}

// stabilizeWarmUp keeps the end of a warm-up that an earlier reading of this node gave,
// so that a list in which nothing happened is the same list.
func (t *table) stabilizeWarmUp(replicas []Replica) []Replica {
	if t.current.version.Reader != t.self {
		return replicas
	}
	known := byKey(t.current.replicas)
	for position, replica := range replicas {
		earlier, found := known[replica.key()]
		same := found && earlier.Instance == replica.Instance && earlier.WarmingUntil > 0 && replica.WarmingUntil > 0
		if same && (replica.WarmingUntil-earlier.WarmingUntil).Abs() < warmUpJitter {
			replicas[position].WarmingUntil = earlier.WarmingUntil
		}
	}
	return replicas
}

// accept puts a reading of another node in force.
func (t *table) accept(now time.Duration, reading Reading, replicas []Replica) {
	before := t.current
	t.current = storedReading{
		present:      true,
		version:      reading.Version,
		readAt:       now - reading.Age,
		readerReadAt: reading.ReadAt,
		receivedAt:   now,
		replicas:     replicas,
		digest:       reading.Digest,
	}
	sameReader := before.version.Term == reading.Version.Term && before.version.Reader == reading.Version.Reader
	if before.present && !sameReader && t.current.readAt-before.readAt < mergeWithin {
		// Messages of the new reader that were delayed may follow.
		t.mergeUntil = now + t.readEvery/2
	}
	switch {
	case now < t.mergeUntil:
		t.useMerged(replicas)
	case reading.Digest != before.digest || !sameReader || t.merged:
		t.use(replicas)
	}
}

// use puts a list in force as it is.
func (t *table) use(replicas []Replica) {
	t.merged = false
	t.replicas = onClock(replicas, t.current.readAt-t.current.readerReadAt)
	t.changed = true
}

// useMerged puts in force what a list and the one in force both allow.
func (t *table) useMerged(replicas []Replica) {
	t.merged = true
	t.replicas = intersect(t.replicas, onClock(replicas, t.current.readAt-t.current.readerReadAt))
	t.changed = true
}

// takeChanged reports whether the list that the node uses has changed since the last call.
func (t *table) takeChanged() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// expand returns the whole list of a message, unless it is sent as changes to one
// that this node does not have.
func (t *table) expand(reading Reading) (replicas []Replica, known bool) {
	var base []Replica
	if reading.Base != 0 {
		if !t.current.present || reading.Base != t.current.digest {
			return nil, false
		}
		base = t.current.replicas
	}
	if reading.Base == reading.Digest && len(reading.Changes) == 0 {
		return base, true
	}
	replicas = apply(base, reading.Changes)
	return replicas, digestOf(replicas) == reading.Digest
}

// unchangedReading tells those who have the same list when it was read.
func (t *table) unchangedReading(now time.Duration) Reading {
	return Reading{
		Version: t.current.version,
		Age:     max(0, now-t.current.readAt),
		ReadAt:  t.current.readerReadAt,
		Digest:  t.current.digest,
		Base:    t.current.digest,
	}
}

// fullReading is the newest reading with all replicas.
func (t *table) fullReading(now time.Duration) Reading {
	reading := t.unchangedReading(now)
	reading.Base = 0
	reading.Changes = changesBetween(nil, t.current.replicas)
	return reading
}

// changesSince is the newest reading as changes to an earlier one, or as a whole if
// that is no longer.
func (t *table) changesSince(now time.Duration, before storedReading) Reading {
	reading := t.fullReading(now)
	if !before.present {
		return reading
	}
	changes := changesBetween(before.replicas, t.current.replicas)
	if len(changes) < len(t.current.replicas) || len(changes) == 0 {
		reading.Base = before.digest
		reading.Changes = changes
	}
	return reading
}

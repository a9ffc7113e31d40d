package listing

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// mergeWithin is the difference of start times below which a reading by another
	// reader may be older than the current one although it seems later: ages do not
	// include network delay.
	mergeWithin = 2 * time.Second
	// warmUpJitter is the difference up to which two readings are taken to show the
	// same end of a warm-up.
	warmUpJitter = 500 * time.Millisecond
)

// storedReading is the newest reading that this node has.
type storedReading struct {
	present bool
	version Version
	// readAt is when the reading began, on this node's clock. For a reading by another
	// node, it is too late by the network delay of the message. readerReadAt is when the
	// reading began, on the reader's clock.
	readAt       time.Duration
	readerReadAt time.Duration
	// receivedAt is when this node received or finished the reading.
	receivedAt time.Duration
	replicas   []Replica
	digest     uint64
}

// table is the table of replicas. It owns the newest reading and the list that the node
// uses.
type table struct {
	self      member.ID
	readEvery time.Duration
	current   storedReading
	// replicas is the list that the node uses, with times on the node's clock. changed
	// is set if the list has changed since the last call of takeChanged.
	replicas []Replica
	changed  bool
	// merged means that replicas is an intersection of lists. Lists that are accepted
	// before mergeUntil are intersected with replicas.
	merged     bool
	mergeUntil time.Duration
}

// publish makes this node's own reading the current one.
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

// inMilliseconds truncates times to milliseconds, the precision of messages.
func inMilliseconds(replicas []Replica) []Replica {
	rounded := slices.Clone(replicas)
	for position := range rounded {
		rounded[position].WarmingUntil = rounded[position].WarmingUntil.Truncate(time.Millisecond)
	}
	return rounded
}

// stabilizeWarmUp replaces the end of a warm-up by that of this node's previous reading if
// the two differ by less than warmUpJitter, so that the digest of an unchanged list stays
// the same.
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

// accept makes a reading of another node the current one.
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
		// Delayed messages of the new reader may still arrive.
		t.mergeUntil = now + t.readEvery/2
	}
	switch {
	case now < t.mergeUntil:
		t.useMerged(replicas)
	case reading.Digest != before.digest || !sameReader || t.merged:
		t.use(replicas)
	}
}

// use makes a list the one that the node uses.
func (t *table) use(replicas []Replica) {
	t.merged = false
	t.replicas = onClock(replicas, t.current.readAt-t.current.readerReadAt)
	t.changed = true
}

// useMerged replaces the list that the node uses by its intersection with another one.
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

// expand returns the whole list of a reading. known is false if the reading contains
// changes to a list that this node does not have, or if the result does not match the
// digest.
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

// unchangedReading returns the newest reading without replicas, for nodes that already have
// its list.
func (t *table) unchangedReading(now time.Duration) Reading {
	return Reading{
		Version: t.current.version,
		Age:     max(0, now-t.current.readAt),
		ReadAt:  t.current.readerReadAt,
		Digest:  t.current.digest,
		Base:    t.current.digest,
	}
}

// fullReading returns the newest reading with all replicas.
func (t *table) fullReading(now time.Duration) Reading {
	reading := t.unchangedReading(now)
	reading.Base = 0
	reading.Changes = changesBetween(nil, t.current.replicas)
	return reading
}

// changesSince returns the newest reading as changes to an earlier one, or with all
// replicas if there is no earlier one or if that is no longer than the changes.
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

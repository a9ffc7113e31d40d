package cachefeed

import "time"

// HandleSnapshot replaces all recorded chunks by a snapshot that the owner itself reported,
// of the chunks that it caches after the change with the given sequence number. Restarted
// has the meaning that it has for HandleEvent.
func (f *Feed) HandleSnapshot(now time.Duration, incarnation, sequence uint64, chunks []ChunkChange) (status Status, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.checkUnordered(now, incarnation)
	if !current {
		return Stale, false
	}
	if f.chunks.inUse && sequence < f.chunks.appliedThrough {
		return Stale, restarted
	}
	f.replaceChunks(now, sequence, chunks)
	return Accepted, restarted
}

// AdoptSnapshot records a snapshot that another router made. Newer changes that this feed
// has received itself are kept. The status is Stale if the snapshot contains nothing new,
// leaves a gap before those changes, or is of another incarnation.
func (f *Feed) AdoptSnapshot(now time.Duration, position Position, chunks []ChunkChange) Status {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || (f.incarnations.started && position.Incarnation != f.incarnations.current) {
		// A snapshot of another incarnation does not imply a restart: the other router
		// may not have received a report of the current incarnation yet.
		return Stale
	}
	if current, _ := f.checkUnordered(now, position.Incarnation); !current {
		return Stale
	}
	newer := !f.chunks.inUse || (f.incomplete && !position.Lost && position.Next >= f.chunks.appliedThrough)
	switch {
	case newer:
		f.replaceChunks(now, position.Next, chunks)
	case f.chunks.fillsGap(position.Next):
		f.chunks.addUnchanged(chunks)
	default:
		return Stale
	}
	f.incomplete = position.Lost
	return Accepted
}

func (f *Feed) replaceChunks(now time.Duration, sequence uint64, chunks []ChunkChange) {
	f.reportsEvents = true
	f.incomplete = false
	f.chunks.replace(now, sequence, chunks)
}

// Snapshot returns the chunks that the owner has reported, as of the change with the
// sequence number Position.Next. If Position.Lost is set, the owner may cache more. Found
// is false for an owner that has not reported chunks by ID.
func (f *Feed) Snapshot() (position Position, chunks []ChunkChange, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.forgotten || !f.chunks.inUse {
		return Position{}, nil, false
	}
	position = Position{Incarnation: f.incarnations.current, Next: f.chunks.appliedThrough, Lost: f.incomplete}
	return position, f.record.reported(), true
}

// Position returns the incarnation of the owner and the sequence number of its newest
// change that was recorded. Found is false for an owner that has not reported chunks by ID.
func (f *Feed) Position() (incarnation, sequence uint64, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnations.current, f.chunks.appliedThrough, f.chunks.inUse
}

// Complete reports whether all chunks by ID that the owner caches are recorded: its
// changes were received without a gap, from its start or from a snapshot on.
func (f *Feed) Complete() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.chunks.inUse && !f.incomplete
}

package cachefeed

import "time"

// HandleSnapshot replaces everything by what the owner itself reported to cache after
// the change with the given sequence number. Restarted is that of HandleEvent.
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

// AdoptSnapshot records a snapshot of another router. Changes that this feed has
// followed itself are newer and stay. Stale says that the snapshot has nothing new, or
// leaves a gap before those changes.
func (f *Feed) AdoptSnapshot(now time.Duration, position Position, chunks []ChunkChange) Status {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || (f.incarnations.started && position.Incarnation != f.incarnations.current) {
		// A snapshot of another incarnation is no sign of a restart: the other router
		// may not have heard of the present one yet.
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

// Snapshot returns what the owner is recorded to cache, as of the change Position.Next.
// Position.Lost says that it may cache more. Found is false for an owner that has not
// reported chunks by ID.
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
// change that was recorded. Found is false when there was none.
func (f *Feed) Position() (incarnation, sequence uint64, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnations.current, f.chunks.appliedThrough, f.chunks.inUse
}

// Complete reports whether all that the owner caches is recorded: its changes were
// followed from its start or from a snapshot on, without a gap.
func (f *Feed) Complete() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.chunks.inUse && !f.incomplete
}

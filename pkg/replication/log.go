package replication

import "slices"

// replicaLog is the part of the log that a member has: the entries after offset, and the
// newest snapshot, which covers at least everything up to offset.
//
// applied <= committed <= lastIndex and durable <= lastIndex always hold. After a snapshot of
// the leader was installed, applied is less than offset until the driver has applied that
// snapshot.
type replicaLog struct {
	// offset is the index before the first entry of entries, and offsetTerm is the term at
	// offset.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	snapshot   *Snapshot
	// durable is the last index that the driver has made durable.
	durable   uint64
	committed uint64
	applied   uint64
	// groups is derived from the snapshot and the entries.
	groups groupHistory
}

func restoreLog(restored Restored, founding slots) *replicaLog {
	log := &replicaLog{groups: groupHistory{newGroupState(0, founding)}}
	if restored.Snapshot != nil {
		log.install(restored.Snapshot)
		log.applied = restored.Snapshot.Index
	}
	for _, entry := range restored.Entries {
		if entry.Index > log.lastIndex() {
			log.append(entry)
		}
	}
	log.durable = log.lastIndex()
	log.committed = max(log.committed, restored.Commit)
	return log
}

func (l *replicaLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *replicaLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index, or false if the log does not have the index.
func (l *replicaLog) termAt(index uint64) (term uint64, ok bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *replicaLog) matches(index, term uint64) bool {
	localTerm, ok := l.termAt(index)
	return ok && localTerm == term
}

// isUpToDate reports whether another log, which ends with (index, term), contains at least
// what this log may have committed, so that its member may be granted a term.
func (l *replicaLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// isAtLeastAsNew is the reverse of isUpToDate: it reports whether this log is at least as new
// as another log, which ends with (index, term).
func (l *replicaLog) isAtLeastAsNew(index, term uint64) bool {
	return term < l.lastTerm() || (term == l.lastTerm() && index <= l.lastIndex())
}

// slice returns the entries first..last. Its capacity is limited so that appending to the
// result can't overwrite the log.
func (l *replicaLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from := first - l.offset - 1
	to := last - l.offset
	return l.entries[from:to:to]
}

// entriesFrom returns entries from first on, limited to maxBytes of commands, but at least
// one entry if there is any.
func (l *replicaLog) entriesFrom(first uint64, maxBytes int) []Entry {
	entries := l.slice(first, l.lastIndex())
	size := 0
	for i, entry := range entries {
		size += len(entry.Command)
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}

func (l *replicaLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, entry := range entries {
		l.groups = l.groups.appended(entry)
	}
}

// appendNew appends a new entry of the given term to the end of the log.
func (l *replicaLog) appendNew(term uint64, kind EntryKind, command []byte) (index uint64) {
	entry := Entry{Index: l.lastIndex() + 1, Term: term, Kind: kind, Command: slices.Clone(command)}
	l.append(entry)
	return entry.Index
}

// maybeAppend appends entries after the entry (index, term) and returns the index of the last
// one. It returns false if the log does not have the entry (index, term).
func (l *replicaLog) maybeAppend(index, term uint64, entries []Entry) (last uint64, ok bool) {
	last = index + uint64(len(entries))
	if index < l.offset {
		// Entries up to offset are committed, and so the same on all members.
		skip := min(l.offset-index, uint64(len(entries)))
		entries = entries[skip:]
	} else if !l.matches(index, term) {
		return 0, false
	}
	for i, entry := range entries {
		if l.matches(entry.Index, entry.Term) {
			continue
		}
		l.truncateFrom(entry.Index)
		l.append(entries[i:]...)
		break
	}
	return last, true
}

// truncateFrom removes the entries at index and later, which conflict with the leader's log.
func (l *replicaLog) truncateFrom(index uint64) {
	remaining := index - l.offset - 1
	if remaining >= uint64(len(l.entries)) {
		return
	}
	l.entries = l.entries[:remaining:remaining]
	l.durable = min(l.durable, index-1)
	l.groups = l.groups.truncated(index)
}

// conflictHint returns the last index at or before index whose term is not greater than term,
// which is where the logs may begin to agree.
func (l *replicaLog) conflictHint(index, term uint64) (hint, hintTerm uint64) {
	hint = min(index, l.lastIndex())
	for hint > l.offset {
		localTerm, _ := l.termAt(hint)
		if localTerm <= term {
			return hint, localTerm
		}
		hint--
	}
	if hint < l.offset {
		return hint, 0
	}
	return l.offset, l.offsetTerm
}

// commitTo advances the commit index, and returns whether it advanced.
func (l *replicaLog) commitTo(index uint64) bool {
	if index <= l.committed {
		return false
	}
	l.committed = min(index, l.lastIndex())
	return true
}

// applyTo records that the driver has applied everything up to index.
func (l *replicaLog) applyTo(index uint64) {
	l.applied = max(l.applied, index)
}

// notDurable returns the entries that the driver has not made durable yet.
func (l *replicaLog) notDurable() []Entry {
	return l.slice(l.durable+1, l.lastIndex())
}

// setDurable records that the entries are durable. Entries that were truncated in the
// meantime don't count. If an entry still matches, all entries before it match as well.
func (l *replicaLog) setDurable(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		if l.matches(entries[i].Index, entries[i].Term) {
			l.durable = max(l.durable, entries[i].Index)
			return
		}
	}
}

// install replaces the whole log with the snapshot. The snapshot counts as durable at once,
// because the next Ready contains it together with any message that acknowledges it.
func (l *replicaLog) install(snapshot *Snapshot) {
	l.snapshot = snapshot
	l.offset = snapshot.Index
	l.offsetTerm = snapshot.Term
	l.entries = nil
	l.durable = snapshot.Index
	l.committed = max(l.committed, snapshot.Index)
	l.groups = groupHistory{newGroupState(snapshot.Index, snapshot.Slots)}
}

// compact sets the newest snapshot, and keeps the newest of the entries that it covers: up to
// maxEntries of them, and up to maxBytes of commands. A maxBytes of zero means no limit.
func (l *replicaLog) compact(snapshot *Snapshot, maxEntries uint64, maxBytes int) {
	l.snapshot = snapshot
	l.groups = l.groups.compacted(snapshot.Index)
	offset := l.offset
	if snapshot.Index > offset+maxEntries {
		offset = snapshot.Index - maxEntries
	}
	if maxBytes > 0 {
		offset = l.offsetWithin(offset, snapshot.Index, maxBytes)
	}
	if offset == l.offset {
		return
	}
	term, _ := l.termAt(offset)
	l.entries = slices.Clone(l.entries[offset-l.offset:])
	l.offset = offset
	l.offsetTerm = term
}

// offsetWithin returns the lowest offset that is not less than first, and for which the
// commands of the entries after it, up to last, have a total size of at most maxBytes.
func (l *replicaLog) offsetWithin(first, last uint64, maxBytes int) uint64 {
	size := 0
	for offset := last; offset > first; offset-- {
		size += len(l.entries[offset-l.offset-1].Command)
		if size > maxBytes {
			return offset
		}
	}
	return first
}

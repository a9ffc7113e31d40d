package relaytree

import (
	"slices"
	"sort"
)

// maxLogEntries is the maximum length of the change log of a topic, which bounds its memory.
// It exceeds the number of sections of a large state, so that the log has room for a
// revision that changes all sections.
const maxLogEntries = 1 << 15

// changeLog records which sections changed at which revision, oldest first.
type changeLog struct {
	// oldest is the oldest revision since which all changes are in the log.
	oldest  uint64
	entries []logEntry
}

// logEntry records that a revision added, changed or removed a section.
type logEntry struct {
	revision uint64
	name     string
}

// reset empties the log. Changes after the given revision will be recorded.
func (l *changeLog) reset(revision uint64) {
	l.oldest = revision
	l.entries = nil
}

// add appends the changes of a newer revision. They include sections that a received delta
// lists although their contents at this node did not change: another node may be at a
// revision that this node skipped, in which those sections were different.
func (l *changeLog) add(revision uint64, change changes) {
	for _, section := range change.sections {
		l.entries = append(l.entries, logEntry{revision: revision, name: section.Name})
	}
	for _, name := range change.removed {
		l.entries = append(l.entries, logEntry{revision: revision, name: name})
	}
	if len(l.entries) > maxLogEntries {
		l.trim()
	}
}

// trim removes at least the older half of the entries, so that trimming is rare. It removes
// either all entries of a revision or none.
func (l *changeLog) trim() {
	l.oldest = l.entries[len(l.entries)-maxLogEntries/2].revision
	l.entries = slices.Clone(l.entries[l.firstAfter(l.oldest):])
}

// firstAfter returns the position of the first entry of a revision newer than the given one.
func (l *changeLog) firstAfter(revision uint64) int {
	return sort.Search(len(l.entries), func(i int) bool { return l.entries[i].revision > revision })
}

// containsSince reports whether all changes since a revision are in the log, and take at
// most limit entries.
func (l *changeLog) containsSince(revision uint64, limit int) bool {
	return revision >= l.oldest && len(l.entries)-l.firstAfter(revision) <= limit
}

// namesSince returns the names of the sections that changed after a revision, sorted.
func (l *changeLog) namesSince(revision uint64) []string {
	var names []string
	for _, entry := range l.entries[l.firstAfter(revision):] {
		names = append(names, entry.name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

package relaytree

import (
	"slices"
	"sort"
)

// maxLogEntries bounds the memory of a topic's log. It is larger than the number of
// sections of a large state, so that one revision that changes all of them fits.
const maxLogEntries = 1 << 15

// changeLog lists which sections changed at which revision, oldest first.
type changeLog struct {
	// oldest is the oldest revision from which all changes are known.
	oldest  uint64
	entries []logEntry
}

// logEntry tells that a revision changed or removed a section.
type logEntry struct {
	revision uint64
	name     string
}

// reset empties the log; it reaches back to the given revision.
func (l *changeLog) reset(revision uint64) {
	l.oldest = revision
	l.entries = nil
}

// add appends the changes of a newer revision. This includes sections that a delta lists
// though they are equal here: a receiver may be at a revision that this node skipped, at
// which the section was different.
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

// trim drops the older half, in whole revisions, so that it is rarely needed.
func (l *changeLog) trim() {
	l.oldest = l.entries[len(l.entries)-maxLogEntries/2].revision
	l.entries = slices.Clone(l.entries[l.firstAfter(l.oldest):])
}

// firstAfter returns the position of the first entry after a revision.
func (l *changeLog) firstAfter(revision uint64) int {
	return sort.Search(len(l.entries), func(i int) bool { return l.entries[i].revision > revision })
}

// containsSince tells whether all changes since a revision are in the log, and are at most the
// given number.
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

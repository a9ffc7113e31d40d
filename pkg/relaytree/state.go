package relaytree

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// state is the newest state of a topic that this node has, and a log of the sections that
// changed recently.
type state struct {
	// chunkBytes is the size of names and contents, in bytes, above which an update is
	// split into chunks.
	chunkBytes int

	revision uint64
	// previous is the revision that this node had before the current one; 0 if none.
	previous uint64
	sections map[string]storedSection
	// checksum is the sum of the hashes of all sections. A sum can be updated from the
	// changed sections alone.
	checksum uint64
	// size is the total size of the names and contents of all sections, in bytes.
	size int
	log  changeLog

	// latestUpdate caches the update that was built last, since all children usually need
	// the same one.
	latestUpdate *outgoingUpdate
	// completeUpdate caches the newest update that contains a complete state in several
	// chunks. Its revision may be older than the current one; it is nil if there is no such
	// update, or if it lags behind by more than maxCompleteUpdateLag.
	completeUpdate *outgoingUpdate
}

// storedSection is the content of a section and the hash that it adds to the checksum.
type storedSection struct {
	content []byte
	hash    uint64
}

// changes lists the sections in which one revision differs from an older one.
type changes struct {
	sections []Section
	removed  []string
}

func newState(chunkBytes int) *state {
	return &state{chunkBytes: chunkBytes, sections: map[string]storedSection{}}
}

// sectionHash returns the value that a section adds to the checksum of a state.
func sectionHash(section Section) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(section.Name)))
	// xxhash never returns an error.
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(section.Name)
	_, _ = digest.Write(section.Content)
	return digest.Sum64()
}

// differenceTo returns the changes that lead from this state to the one with the given
// sections.
func (s *state) differenceTo(sections []Section) changes {
	var found changes
	retained := 0
	for _, section := range sections {
		stored, known := s.sections[section.Name]
		if known {
			retained++
		}
		if !known || !bytes.Equal(stored.content, section.Content) {
			found.sections = append(found.sections, section)
		}
	}
	if retained < len(s.sections) {
		found.removed = s.namesMissingFrom(sections)
	}
	found.sort()
	return found
}

// namesMissingFrom returns the names of the sections of this state that aren't among the
// given ones.
func (s *state) namesMissingFrom(sections []Section) []string {
	given := make(map[string]struct{}, len(sections))
	for _, section := range sections {
		given[section.Name] = struct{}{}
	}
	var names []string
	for name := range s.sections {
		if _, retained := given[name]; !retained {
			names = append(names, name)
		}
	}
	return names
}

func (c *changes) sort() {
	slices.SortFunc(c.sections, func(a, b Section) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(c.removed)
}

// checksumAfter returns the checksum that the state would have after a change.
func (s *state) checksumAfter(change changes) uint64 {
	checksum := s.checksum
	for _, section := range change.sections {
		checksum += sectionHash(section) - s.sections[section.Name].hash
	}
	for _, name := range change.removed {
		checksum -= s.sections[name].hash
	}
	return checksum
}

// apply changes the sections and the revision of the state, logs the change, and clears the
// cached updates that can no longer be sent.
func (s *state) apply(revision uint64, change changes) {
	for _, section := range change.sections {
		s.remove(section.Name)
		stored := storedSection{content: section.Content, hash: sectionHash(section)}
		s.sections[section.Name] = stored
		s.checksum += stored.hash
		s.size += len(section.Name) + len(section.Content)
	}
	for _, name := range change.removed {
		s.remove(name)
	}
	if s.revision == 0 {
		s.log.reset(revision)
	} else {
		s.log.add(revision, change)
	}
	s.previous = s.revision
	s.revision = revision
	s.latestUpdate = nil
	if s.completeUpdate != nil && !s.log.containsSince(s.completeUpdate.revision, maxCompleteUpdateLag) {
		s.completeUpdate = nil
	}
}

func (s *state) remove(name string) {
	stored, known := s.sections[name]
	if !known {
		return
	}
	s.checksum -= stored.hash
	s.size -= len(name) + len(stored.content)
	delete(s.sections, name)
}

// sortedSections returns all sections, sorted by name.
func (s *state) sortedSections() []Section {
	sections := make([]Section, 0, len(s.sections))
	for _, name := range slices.Sorted(maps.Keys(s.sections)) {
		sections = append(sections, Section{Name: name, Content: s.sections[name].content})
	}
	return sections
}

// changesSince returns the changes from an older revision to the current one. The older
// revision must not precede the oldest one of the log.
func (s *state) changesSince(base uint64) changes {
	var found changes
	for _, name := range s.log.namesSince(base) {
		if stored, present := s.sections[name]; present {
			found.sections = append(found.sections, Section{Name: name, Content: stored.content})
		} else {
			found.removed = append(found.removed, name)
		}
	}
	return found
}

package relaytree

// maxCompleteUpdateLag is the number of logged section changes by which a cached complete
// state in several chunks may lag behind the current revision and still be sent to further
// receivers. A receiver gets the later changes as a delta.
const maxCompleteUpdateLag = 1024

// outgoingUpdate is a delta or a complete state, split into chunks, that is sent to bring a
// receiver to a revision. It is immutable, and is shared by the transfers to several
// receivers. (An Update, in contrast, is returned to the caller of this node's Machine.)
type outgoingUpdate struct {
	revision uint64
	// base is 0 for a complete state.
	base     uint64
	checksum uint64
	chunks   []changes
}

// updateFrom returns the update for a receiver at a revision: a delta, or the complete state
// if the revision is 0 or precedes the log. A complete state in several chunks may lag
// behind the current revision. Otherwise a burst of revisions would restart the transfer of
// a complete state again and again, and the complete states of several revisions would take
// memory at the same time, one for each receiver.
func (s *state) updateFrom(revision uint64) *outgoingUpdate {
	base := revision
	if revision == 0 || revision < s.log.oldest {
		base = 0
	}
	if base == 0 && s.completeUpdate != nil && s.completeUpdate.revision > revision {
		return s.completeUpdate
	}
	if s.latestUpdate != nil && s.latestUpdate.base == base {
		return s.latestUpdate
	}
	s.latestUpdate = s.build(base)
	if base == 0 && len(s.latestUpdate.chunks) > 1 {
		s.completeUpdate = s.latestUpdate
	}
	return s.latestUpdate
}

// build returns the update from a base to the current revision, or the complete state if
// the base is 0.
func (s *state) build(base uint64) *outgoingUpdate {
	built := &outgoingUpdate{revision: s.revision, base: base, checksum: s.checksum}
	if base == 0 {
		built.chunks = split(changes{sections: s.sortedSections()}, s.chunkBytes)
	} else {
		built.chunks = split(s.changesSince(base), s.chunkBytes)
	}
	return built
}

// guessBase returns the base of the update for a receiver whose revision isn't known. For a
// state of at most chunkBytes, it is 0: the complete state is sent. For a larger state, it
// is the previous revision, or the current one, which gives an empty delta, if the previous
// revision precedes the log. A receiver that is older than the base replies with its own
// revision.
func (s *state) guessBase() uint64 {
	switch {
	case s.size <= s.chunkBytes:
		return 0
	case s.previous >= s.log.oldest:
		return s.previous
	default:
		return s.revision
	}
}

// split divides changes into one or more chunks of at most chunkBytes each. A section that
// is larger than chunkBytes gets a chunk of its own.
func split(all changes, chunkBytes int) []changes {
	chunks := []changes{{}}
	size := 0
	chunkFor := func(bytes int) *changes {
		if size > 0 && size+bytes > chunkBytes {
			chunks = append(chunks, changes{})
			size = 0
		}
		size += bytes
		return &chunks[len(chunks)-1]
	}
	for _, section := range all.sections {
		chunk := chunkFor(len(section.Name) + len(section.Content))
		chunk.sections = append(chunk.sections, section)
	}
	for _, name := range all.removed {
		chunk := chunkFor(len(name))
		chunk.removed = append(chunk.removed, name)
	}
	return chunks
}

// message returns the message that contains one chunk of the update.
func (u *outgoingUpdate) message(topic Topic, chunk int) Message {
	return Message{
		Type:         MessageUpdate,
		Topic:        topic,
		Revision:     u.revision,
		BaseRevision: u.base,
		Checksum:     u.checksum,
		Chunk:        uint32(chunk),
		ChunkCount:   uint32(len(u.chunks)),
		Sections:     u.chunks[chunk].sections,
		Removed:      u.chunks[chunk].removed,
	}
}

package relaytree

// maxCompleteUpdateLag is how many changed sections a complete state in several chunks may lag
// behind and still be sent to another receiver, which gets the rest as a delta.
const maxCompleteUpdateLag = 1024

// outgoingUpdate leads a receiver to a revision: a delta or a complete state, in chunks. It is
// immutable, and is shared by the transfers to several receivers. (An Update is what the
// caller of this node's Machine gets.)
type outgoingUpdate struct {
	revision uint64
	// base is 0 for a complete state.
	base     uint64
	checksum uint64
	chunks   []changes
}

// updateFrom returns the update for a receiver at a revision: a delta, or the complete state
// if the log doesn't reach back. A whole state in several chunks may lag behind:
// otherwise a storm of revisions would restart the transfer again and again, and each
// receiver's version would take memory.
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

// build returns the update from a base, or the complete state if the base is 0.
func (s *state) build(base uint64) *outgoingUpdate {
	built := &outgoingUpdate{revision: s.revision, base: base, checksum: s.checksum}
	if base == 0 {
		built.chunks = split(changes{sections: s.sortedSections()}, s.chunkBytes)
	} else {
		built.chunks = split(s.changesSince(base), s.chunkBytes)
	}
	return built
}

// guessBase returns the base for a receiver whose revision isn't known. A small state is
// sent whole. Of a large one, only the changes since the previous revision are sent, or none
// if the log doesn't reach back to it: a receiver that such a delta doesn't fit replies with
// its own revision.
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

// split divides changes into chunks of about chunkBytes; there is at least one.
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

// message returns the message with one chunk of the update.
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

package relaytree

// maxSnapshotLag is how many changes a snapshot may lag behind and still be sent
// to a further receiver, that gets the rest as a delta.
const maxSnapshotLag = 1024

// update leads a receiver to a revision. It is never changed, and is shared by
// the flights to several receivers.
type update struct {
	revision uint64
	// base is 0 for a whole state.
	base     uint64
	checksum uint64
	parts    []changes
}

// updateFrom returns the update for a receiver that holds a revision: what
// changed since, or the whole state if that isn't known. A whole state in
// several parts may lag a little: a storm would have it started again without
// end, and each version would take memory of its own.
func (s *state) updateFrom(held uint64) *update {
	base := held
	if held == 0 || held < s.log.oldest {
		base = 0
	}
	if base == 0 && s.snapshot != nil && s.snapshot.revision > held {
		return s.snapshot
	}
	if s.recent != nil && s.recent.base == base {
		return s.recent
	}
	s.recent = s.build(base)
	if base == 0 && len(s.recent.parts) > 1 {
		s.snapshot = s.recent
	}
	return s.recent
}

func (s *state) build(base uint64) *update {
	built := &update{revision: s.revision, base: base, checksum: s.checksum}
	if base == 0 {
		built.parts = split(changes{sections: s.list()}, s.partBytes)
	} else {
		built.parts = split(s.since(base), s.partBytes)
	}
	return built
}

// guessBase is the revision that a receiver of which nothing is known is taken
// to hold. A small state is sent whole. A large one isn't sent on a guess: if
// the receiver doesn't hold the guessed revision, it answers with what it holds.
func (s *state) guessBase() uint64 {
	switch {
	case s.size <= s.partBytes:
		return 0
	case s.previous >= s.log.oldest:
		return s.previous
	default:
		return s.revision
	}
}

// split cuts changes into parts of about partBytes; there is at least one.
func split(all changes, partBytes int) []changes {
	parts := []changes{{}}
	size := 0
	next := func(bytes int) *changes {
		if size > 0 && size+bytes > partBytes {
			parts = append(parts, changes{})
			size = 0
		}
		size += bytes
		return &parts[len(parts)-1]
	}
	for _, section := range all.sections {
		part := next(len(section.Name) + len(section.Content))
		part.sections = append(part.sections, section)
	}
	for _, name := range all.removed {
		part := next(len(name))
		part.removed = append(part.removed, name)
	}
	return parts
}

// message is one part of the update.
func (u *update) message(topic Topic, part int) Message {
	return Message{
		Type:         MessageUpdate,
		Topic:        topic,
		Revision:     u.revision,
		BaseRevision: u.base,
		Checksum:     u.checksum,
		Part:         uint32(part),
		Parts:        uint32(len(u.parts)),
		Sections:     u.parts[part].sections,
		Removed:      u.parts[part].removed,
	}
}

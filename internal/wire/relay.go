package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

func packRelay(message *relaytree.Message) *fb.RelayT {
	if message == nil {
		return nil
	}
	packed := &fb.RelayT{
		Type:         byte(message.Type),
		Topic:        uint32(message.Topic),
		Revision:     message.Revision,
		BaseRevision: message.BaseRevision,
		Checksum:     message.Checksum,
		Part:         message.Chunk,
		Parts:        message.ChunkCount,
		Sections:     packSections(message.Sections),
		Removed:      message.Removed,
		Answers:      message.AcknowledgedRevision,
		Mismatch:     message.Mismatch,
	}
	for _, revision := range message.Revisions {
		packed.Known = append(packed.Known, &fb.TopicRevisionT{
			Topic:      uint32(revision.Topic),
			Revision:   revision.Revision,
			Assembling: revision.Assembling,
		})
	}
	return packed
}

func packSections(sections []relaytree.Section) []*fb.SectionT {
	if len(sections) == 0 {
		return nil
	}
	packed := make([]*fb.SectionT, len(sections))
	for i, section := range sections {
		packed[i] = &fb.SectionT{Name: section.Name, Content: section.Content}
	}
	return packed
}

func (r *reader) relay(table *fb.Relay) *relaytree.Message {
	if table == nil {
		return nil
	}
	return &relaytree.Message{
		Type:                 relaytree.MessageType(table.Type()),
		Topic:                relaytree.Topic(table.Topic()),
		Revision:             table.Revision(),
		BaseRevision:         table.BaseRevision(),
		Checksum:             table.Checksum(),
		Chunk:                table.Part(),
		ChunkCount:           table.Parts(),
		Sections:             r.sections(table),
		Removed:              r.texts(table.RemovedLength(), table.Removed),
		AcknowledgedRevision: table.Answers(),
		Mismatch:             table.Mismatch(),
		Revisions:            r.topicRevisions(table),
	}
}

func (r *reader) sections(table *fb.Relay) []relaytree.Section {
	length := r.vectorLength(table.SectionsLength(), minSectionBytes)
	if length == 0 {
		return nil
	}
	sections := make([]relaytree.Section, length)
	var stored fb.Section
	for i := range sections {
		table.Sections(&stored, i)
		sections[i] = relaytree.Section{
			Name:    r.text(stored.Name()),
			Content: r.bytes(stored.ContentBytes()),
		}
	}
	return sections
}

func (r *reader) topicRevisions(table *fb.Relay) []relaytree.TopicRevision {
	length := r.vectorLength(table.KnownLength(), minTableBytes)
	if length == 0 {
		return nil
	}
	revisions := make([]relaytree.TopicRevision, length)
	var stored fb.TopicRevision
	for i := range revisions {
		table.Known(&stored, i)
		revisions[i] = relaytree.TopicRevision{
			Topic:      relaytree.Topic(stored.Topic()),
			Revision:   stored.Revision(),
			Assembling: stored.Assembling(),
		}
	}
	return revisions
}

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
	var stored fb.Section
	return readVectorOrNil(r, table.SectionsLength(), minSectionBytes, func(i int) relaytree.Section {
		table.Sections(&stored, i)
		return relaytree.Section{
			Name:    r.text(stored.Name()),
			Content: r.bytes(stored.ContentBytes()),
		}
	})
}

func (r *reader) topicRevisions(table *fb.Relay) []relaytree.TopicRevision {
	var stored fb.TopicRevision
	return readVectorOrNil(r, table.KnownLength(), minTableBytes, func(i int) relaytree.TopicRevision {
		table.Known(&stored, i)
		return relaytree.TopicRevision{
			Topic:      relaytree.Topic(stored.Topic()),
			Revision:   stored.Revision(),
			Assembling: stored.Assembling(),
		}
	})
}

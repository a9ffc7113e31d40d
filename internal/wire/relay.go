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
		Payload:      message.Payload,
	}
	for _, known := range message.Known {
		packed.Known = append(packed.Known, &fb.TopicRevisionT{
			Topic:    uint32(known.Topic),
			Revision: known.Revision,
		})
	}
	return packed
}

func (r *reader) relay(table *fb.Relay) *relaytree.Message {
	if table == nil {
		return nil
	}
	return &relaytree.Message{
		Type:         relaytree.MessageType(table.Type()),
		Topic:        relaytree.Topic(table.Topic()),
		Revision:     table.Revision(),
		BaseRevision: table.BaseRevision(),
		Payload:      r.bytes(table.PayloadBytes()),
		Known:        r.topicRevisions(table),
	}
}

func (r *reader) topicRevisions(table *fb.Relay) []relaytree.TopicRevision {
	length := r.elements(table.KnownLength(), leastTableBytes)
	if length == 0 {
		return nil
	}
	known := make([]relaytree.TopicRevision, length)
	var stored fb.TopicRevision
	for i := range known {
		table.Known(&stored, i)
		known[i] = relaytree.TopicRevision{
			Topic:    relaytree.Topic(stored.Topic()),
			Revision: stored.Revision(),
		}
	}
	return known
}

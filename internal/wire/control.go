package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

func packControl(message *protocol.Message) *fb.ControlT {
	if message == nil {
		return nil
	}
	packed := &fb.ControlT{
		Type:        byte(message.Type),
		Shard:       message.Shard,
		Request:     message.Request,
		Incarnation: uint64(message.Incarnation),
		Payload:     message.Payload,
		Revision:    message.Revision,
		Leader:      string(message.Leader),
		Accepted:    message.Accepted,
		Term:        message.Term,
	}
	for _, revision := range message.Revisions {
		packed.Revisions = append(packed.Revisions, &fb.ShardRevisionT{
			Shard:    revision.Shard,
			Revision: revision.Revision,
			Drained:  revision.Drained,
		})
	}
	return packed
}

func (r *reader) control(table *fb.Control) *protocol.Message {
	if table == nil {
		return nil
	}
	return &protocol.Message{
		Type:        protocol.MessageType(table.Type()),
		Shard:       table.Shard(),
		Request:     table.Request(),
		Incarnation: member.Incarnation(table.Incarnation()),
		Payload:     r.bytes(table.PayloadBytes()),
		Revision:    table.Revision(),
		Leader:      member.ID(r.text(table.Leader())),
		Accepted:    table.Accepted(),
		Term:        table.Term(),
		Revisions:   r.shardRevisions(table),
	}
}

// shardRevisions reads the revisions of a confirmation.
func (r *reader) shardRevisions(table *fb.Control) []protocol.ShardRevision {
	var stored fb.ShardRevision
	return readVectorOrNil(r, table.RevisionsLength(), minTableBytes, func(i int) protocol.ShardRevision {
		table.Revisions(&stored, i)
		return protocol.ShardRevision{
			Shard:    stored.Shard(),
			Revision: stored.Revision(),
			Drained:  stored.Drained(),
		}
	})
}

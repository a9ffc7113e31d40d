package wire

import (
	"fmt"
	"testing"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// benchmarkElements is the length of each vector in the frames of the benchmarks.
const benchmarkElements = 100

// benchmarkEnvelope is a named input of the benchmarks.
type benchmarkEnvelope struct {
	name     string
	envelope Envelope
}

// benchmarkEnvelopes returns an envelope with long vectors for each type of message.
func benchmarkEnvelopes() []benchmarkEnvelope {
	table := &membership.Message{Type: membership.MessageJoinReply, From: member.Info{ID: "10.0.0.1:7100"}}
	appended := &replication.Message{Type: replication.MessageAppend}
	confirmation := &protocol.Message{Type: protocol.MessageConfirm}
	digest := &relaytree.Message{Type: relaytree.MessageDigest}
	update := gossip.Update{Node: "10.0.0.1:7100"}
	for number := range benchmarkElements {
		host := fmt.Sprintf("10.0.1.%d", number)
		address := host + ":8000"
		table.Records = append(table.Records, membership.Record{
			Info: member.Info{
				ID: member.ID(host + ":7100"), Address: host + ":7100", TrafficAddress: host + ":7200",
				ControlAddress: host + ":7300", Zone: "north", Incarnation: 1_700_000_000_000,
			},
			Monitors:     []member.ID{"10.0.1.1:7100", "10.0.1.2:7100", "10.0.1.3:7100"},
			MonitorBoots: []member.Incarnation{1_700_000_000_001, 1_700_000_000_002, 1_700_000_000_003},
			Version:      uint64(number),
		})
		appended.Entries = append(appended.Entries, replication.Entry{Index: uint64(number), Term: 3, Command: []byte("command")})
		confirmation.Revisions = append(confirmation.Revisions, protocol.ShardRevision{Shard: uint32(number), Revision: 8, Drained: 7})
		digest.Revisions = append(digest.Revisions, relaytree.TopicRevision{Topic: relaytree.Topic(number), Revision: 20})
		update.Loads = append(update.Loads, kvrouter.AddressLoad{Address: address})
		update.Dispatches = append(update.Dispatches, gossip.Dispatch{
			Address: address, Links: []prefixindex.Link{{Hash: 1 << 63, Tokens: 512}, {Hash: 2, Tokens: 16}},
		})
		update.Reports = append(update.Reports, gossip.Report{
			Address: address, Changes: []gossip.Change{{Sequence: 10, Name: 1 << 62, Tokens: 64}, {Sequence: 11, Name: 3, Removed: true}},
		})
		update.GoneInstances = append(update.GoneInstances, gossip.GoneInstance{Address: address, Instance: "instance-9"})
		update.Outcomes = append(update.Outcomes, outlier.Report{Address: address, Failures: 2.5, Total: 40})
	}
	return []benchmarkEnvelope{
		{"membership", Envelope{From: "10.0.0.1:7100", Membership: table}},
		{"replication", Envelope{From: "10.0.0.1:7100", Replication: appended}},
		{"control", Envelope{From: "10.0.0.1:7100", Control: confirmation}},
		{"relay", Envelope{From: "10.0.0.1:7100", Relay: digest}},
		{"traffic", Envelope{From: "10.0.0.1:7100", Traffic: &gossip.Batch{Stage: gossip.RelayToRelay, Updates: []gossip.Update{update}}}},
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, input := range benchmarkEnvelopes() {
		frame := Encode(input.envelope)
		b.Run(input.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(frame); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, input := range benchmarkEnvelopes() {
		b.Run(input.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = Encode(input.envelope)
			}
		})
	}
}

func BenchmarkMessageKindOf(b *testing.B) {
	for _, input := range benchmarkEnvelopes() {
		frame := Encode(input.envelope)
		b.Run(input.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = MessageKindOf(frame)
			}
		})
	}
}

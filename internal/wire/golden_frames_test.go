package wire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// The golden frames were written by an earlier release and must not change, because nodes
// of two releases run side by side during an upgrade. To add the frame of a new message,
// run the specs once with the environment variable that writeGolden names set to any text;
// existing frames stay.
const (
	goldenFrames = "testdata/golden_frames.txt"
	writeGolden  = "RIDGESWITCH_WRITE_GOLDEN"
)

// goldenMessage is a message whose expected frame is in goldenFrames under its name.
type goldenMessage struct {
	name     string
	kind     MessageKind
	envelope Envelope
}

func goldenEnvelope() Envelope {
	return Envelope{Deployment: "hall", From: "10.0.0.1:7100", Incarnation: 1_700_000_000_123}
}

func replicationFrame(name string, kind MessageKind, message replication.Message) goldenMessage {
	envelope := goldenEnvelope()
	envelope.Shard = 2
	message.Incarnation = 7
	envelope.Replication = &message
	return goldenMessage{name: "replication " + name, kind: kind, envelope: envelope}
}

func goldenReplication() []goldenMessage {
	entries := []replication.Entry{
		{Index: 41, Term: 5, Kind: replication.EntryCommand, Command: []byte("command")},
		{Index: 42, Term: 5, Kind: replication.EntryBarrier},
		{Index: 43, Term: 6, Kind: replication.EntryGroupChange, Command: []byte("group")},
		{Index: 44, Term: 6, Kind: replication.EntryRestore, Command: []byte("state")},
	}
	snapshot := &replication.Snapshot{Index: 40, Term: 4, Data: []byte("state"), Slots: []replication.Slot{
		{Voter: replication.Voter{ID: "10.0.0.1:7100", Incarnation: 1}},
		{Voter: replication.Voter{ID: "10.0.0.2:7100", Incarnation: 1 << 60}, Learner: true},
	}}
	return []goldenMessage{
		replicationFrame("promise request", KindVote, replication.Message{
			Type: replication.MessageVoteRequest, Term: 6, Index: 40, IndexTerm: 5, PreVote: true, Transfer: true,
		}),
		replicationFrame("promise reply", KindVote, replication.Message{
			Type: replication.MessageVoteReply, Term: 6, PreVote: true, Reject: true,
		}),
		replicationFrame("append", KindAppend, replication.Message{
			Type: replication.MessageAppend, Term: 6, Index: 40, IndexTerm: 4, Commit: 39, Entries: entries,
		}),
		replicationFrame("append reply", KindAppendReply, replication.Message{
			Type: replication.MessageAppendReply, Term: 6, Index: 40, Reject: true, RejectHint: 33, Learner: true,
		}),
		replicationFrame("heartbeat", KindGroupHeartbeat, replication.Message{
			Type: replication.MessageHeartbeat, Term: 6, Commit: 39, HeartbeatNumber: 900,
		}),
		replicationFrame("heartbeat reply", KindGroupHeartbeatReply, replication.Message{
			Type: replication.MessageHeartbeatReply, Term: 6, HeartbeatNumber: 900, Learner: true,
		}),
		replicationFrame("snapshot", KindSnapshot, replication.Message{
			Type: replication.MessageSnapshot, Term: 6, Snapshot: snapshot,
		}),
		replicationFrame("ballot request", KindOther, replication.Message{
			Type: replication.MessageRecoveryRequest, Term: 65_541, Index: 44, IndexTerm: 6, PreVote: true,
		}),
		replicationFrame("ballot reply", KindOther, replication.Message{
			Type: replication.MessageRecoveryReply, Term: 65_541, Index: 44, IndexTerm: 6, Reject: true,
		}),
	}
}

// goldenRecords returns a record in each state.
func goldenRecords() []membership.Record {
	var records []membership.Record
	states := []membership.State{membership.StateAlive, membership.StateSuspect, membership.StateFenced, membership.StateLeft}
	for number, state := range states {
		host := fmt.Sprintf("10.0.0.%d", number+1)
		records = append(records, membership.Record{
			Info: member.Info{
				ID: member.ID(host + ":7100"), Address: host + ":7100", TrafficAddress: host + ":7200",
				ControlAddress: "192.168.0.1:7300", Zone: "north", HoldsState: number%2 == 0, Incarnation: 1_700_000_000_000,
			},
			State:             state,
			MonitorSetVersion: 4,
			Monitors:          []member.ID{"10.0.0.8:7100", "10.0.0.9:7100"},
			MonitorBoots:      []member.Incarnation{1_700_000_000_001, 1_699_999_999_000},
			TimeoutReports: []membership.TimeoutReport{{
				Monitor: "10.0.0.9:7100", MonitorBoot: 1_699_999_999_000, Incarnation: 1_700_000_000_000, MonitorSetVersion: 3,
			}},
			Version: 12,
		})
	}
	// An incarnation that is too far from that of the record for an int32 difference makes
	// packBoots return the incarnations in full.
	records[1].MonitorBoots[1] = 1
	return records
}

func membershipFrame(name string, kind MessageKind, message membership.Message) goldenMessage {
	envelope := goldenEnvelope()
	if message.From == (member.Info{}) {
		message.From = member.Info{ID: envelope.From}
	}
	message.Incarnation = envelope.Incarnation
	message.Boot = envelope.Incarnation - 5
	envelope.Membership = &message
	return goldenMessage{name: "membership " + name, kind: kind, envelope: envelope}
}

func goldenMembership() []goldenMessage {
	records := goldenRecords()
	return []goldenMessage{
		membershipFrame("join", KindJoin, membership.Message{Type: membership.MessageJoin, From: records[0].Info, Records: records[:1]}),
		membershipFrame("join reply", KindJoinReply, membership.Message{
			Type: membership.MessageJoinReply, From: records[1].Info, Records: records, Digest: 77, Stable: true,
		}),
		membershipFrame("join reply before the table", KindJoinReply, membership.Message{
			Type: membership.MessageJoinReply, From: records[1].Info, Deferred: true,
		}),
		membershipFrame("heartbeat", KindMemberHeartbeat, membership.Message{
			Type: membership.MessageHeartbeat, Sequence: 300, MonitorSetVersion: 4, Digest: 78,
		}),
		membershipFrame("heartbeat reply", KindMemberHeartbeatReply, membership.Message{
			Type: membership.MessageHeartbeatReply, Sequence: 300, MonitorSetVersion: 4, TimedOutVersion: 3, Digest: 78,
		}),
		membershipFrame("probe", KindProbe, membership.Message{Type: membership.MessageGossip, From: records[0].Info, Digest: 79}),
		membershipFrame("changed records", KindRecordUpdate, membership.Message{Type: membership.MessageGossip, Records: records[2:], Digest: 80}),
		membershipFrame("digests by range", KindRangeDigests, membership.Message{
			Type: membership.MessageGossip, From: records[0].Info, Buckets: []uint32{5, 0, 4_000_000_000},
		}),
		membershipFrame("summary", KindSummary, membership.Message{
			Type: membership.MessageGossip, From: records[0].Info, CoveredBuckets: 0b101,
			Summary: []membership.RecordDigest{{Member: 1, Digest: 2}, {Member: 3_000_000_000, Digest: 4}},
		}),
		membershipFrame("requested records", KindRecordRequest, membership.Message{
			Type: membership.MessageGossip, From: records[0].Info, Requested: []uint32{9, 3_000_000_000}, Records: records[3:],
		}),
	}
}

func relayFrame(name string, kind MessageKind, message relaytree.Message) goldenMessage {
	envelope := goldenEnvelope()
	envelope.Relay = &message
	return goldenMessage{name: "relay " + name, kind: kind, envelope: envelope}
}

func goldenRelay() []goldenMessage {
	return []goldenMessage{
		relayFrame("update", KindRelayUpdate, relaytree.Message{
			Type: relaytree.MessageUpdate, Topic: 3, Revision: 20, BaseRevision: 18, Checksum: 1 << 62, Chunk: 1, ChunkCount: 4,
			Sections: []relaytree.Section{{Name: "routes/1", Content: []byte("content")}, {Name: "empty"}},
			Removed:  []string{"routes/2"},
		}),
		relayFrame("digest", KindRelayDigest, relaytree.Message{
			Type: relaytree.MessageDigest, Revisions: []relaytree.TopicRevision{{Topic: 3, Revision: 20, Assembling: true}, {Topic: 4, Revision: 1}},
		}),
		relayFrame("acknowledge", KindRelayAcknowledge, relaytree.Message{
			Type: relaytree.MessageAcknowledge, Topic: 3, Revision: 19, Chunk: 2, AcknowledgedRevision: 20, Mismatch: true,
		}),
	}
}

func controlFrame(name string, kind MessageKind, message protocol.Message) goldenMessage {
	envelope := goldenEnvelope()
	message.Request = 1<<40 + 9
	envelope.Control = &message
	return goldenMessage{name: "control " + name, kind: kind, envelope: envelope}
}

func goldenControl() []goldenMessage {
	revisions := []protocol.ShardRevision{{Shard: 0, Revision: 8, Drained: 7}, {Shard: 4, Revision: 90, Drained: 90}}
	return []goldenMessage{
		controlFrame("order", KindChange, protocol.Message{Type: protocol.MessageChange, Payload: []byte("order")}),
		controlFrame("order reply", KindChange, protocol.Message{
			Type: protocol.MessageChangeReply, Payload: []byte("answer"), Accepted: true, Leader: "10.0.0.2:7100",
		}),
		controlFrame("register", KindRegister, protocol.Message{Type: protocol.MessageRegister, Shard: 4, Incarnation: 1_700_000_000_123}),
		controlFrame("register reply", KindRegister, protocol.Message{
			Type: protocol.MessageRegisterReply, Shard: 4, Incarnation: 1_700_000_000_123, Revision: 90, Accepted: true,
		}),
		controlFrame("confirm", KindConfirm, protocol.Message{Type: protocol.MessageConfirm, Incarnation: 1_700_000_000_123, Revisions: revisions}),
		controlFrame("ask confirm", KindConfirmRequest, protocol.Message{Type: protocol.MessageConfirmRequest, Shard: 4, Revision: 90}),
		controlFrame("witness request", KindOther, protocol.Message{Type: protocol.MessageWitnessRequest, Shard: 4, Term: 65_541}),
		controlFrame("witness reply", KindOther, protocol.Message{
			Type: protocol.MessageWitnessReply, Shard: 4, Term: 6, Revision: 89, Incarnation: 1_700_000_000_123,
		}),
		controlFrame("list", KindOther, protocol.Message{Type: protocol.MessageEndpoints, Payload: []byte("list")}),
		controlFrame("list request", KindOther, protocol.Message{Type: protocol.MessageEndpointsRequest, Payload: []byte("list request")}),
		controlFrame("read source", KindOther, protocol.Message{Type: protocol.MessageReadSource}),
		controlFrame("read source reply", KindOther, protocol.Message{
			Type: protocol.MessageReadSourceReply, Payload: []byte("source"), Accepted: true,
		}),
		controlFrame("read revision", KindOther, protocol.Message{Type: protocol.MessageReadRevision}),
		controlFrame("read revision reply", KindOther, protocol.Message{
			Type: protocol.MessageReadRevisionReply, Revision: 8, Accepted: true, Leader: "10.0.0.2:7100",
		}),
	}
}

func trafficFrame(name string, kind MessageKind, batch gossip.Batch) goldenMessage {
	envelope := goldenEnvelope()
	envelope.Traffic = &batch
	return goldenMessage{name: "traffic " + name, kind: kind, envelope: envelope}
}

// goldenUpdates returns an update with every kind of content, from a node with an IPv4
// address, and an empty update from a node with a name.
func goldenUpdates() []gossip.Update {
	load := kvrouter.AddressLoad{Address: "10.1.0.1:8000"}
	load.DecodeTokens, load.Requests = 1200, 3
	load.PrefillTokens[0], load.PrefillTokens[4] = 512, 64
	idle := kvrouter.AddressLoad{Address: "replica-2"}
	return []gossip.Update{
		{
			Node:       "10.0.0.1:7100",
			Loads:      []kvrouter.AddressLoad{load, idle},
			Dispatches: []gossip.Dispatch{{Address: "10.1.0.1:8000", Links: []prefixindex.Link{{Hash: 1 << 63, Tokens: 512}, {Hash: 2, Tokens: 16}}}},
			Reports: []gossip.Report{{
				Address:  "replica-2",
				Feed:     cachefeed.Position{Incarnation: 5, From: 10, Next: 12, Lost: true},
				Complete: true,
				Changes:  []gossip.Change{{Sequence: 10, Name: 1 << 62, Tokens: 64}, {Sequence: 11, Name: 3, Removed: true}},
			}},
			GoneInstances: []gossip.GoneInstance{{Address: "replica-2", Instance: "instance-9"}},
			Outcomes:      []outlier.Report{{Address: "10.1.0.1:8000", Failures: 2.5, Total: 40}},
		},
		{
			Node: "node-2", Loads: []kvrouter.AddressLoad{}, Dispatches: []gossip.Dispatch{},
			Reports: []gossip.Report{}, GoneInstances: []gossip.GoneInstance{}, Outcomes: []outlier.Report{},
		},
	}
}

func goldenTraffic() []goldenMessage {
	return []goldenMessage{
		trafficFrame("to the relay", KindTrafficNodeToRelay, gossip.Batch{Stage: gossip.NodeToRelay, Updates: goldenUpdates()}),
		trafficFrame("between relays", KindTrafficRelayToRelay, gossip.Batch{Stage: gossip.RelayToRelay, Updates: goldenUpdates()}),
		trafficFrame("from the relay", KindTrafficRelayToNodes, gossip.Batch{Stage: gossip.RelayToNodes, Updates: goldenUpdates()}),
		trafficFrame("request of a started node", KindTrafficSnapshot, gossip.Batch{Stage: gossip.SnapshotRequest, Updates: goldenUpdates()[1:]}),
		trafficFrame("part of a response", KindTrafficSnapshot, gossip.Batch{Stage: gossip.SnapshotChunk, Updates: goldenUpdates()}),
		trafficFrame("end of a response", KindTrafficSnapshot, gossip.Batch{Stage: gossip.SnapshotEnd, Updates: goldenUpdates()[1:]}),
	}
}

func goldenMessages() []goldenMessage {
	var messages []goldenMessage
	for _, group := range [][]goldenMessage{goldenReplication(), goldenMembership(), goldenRelay(), goldenControl(), goldenTraffic()} {
		messages = append(messages, group...)
	}
	return messages
}

// readGoldenFrames returns the golden frames by their names; each line holds a name and
// the frame in hexadecimal digits.
func readGoldenFrames() map[string][]byte {
	frames := map[string][]byte{}
	file, err := os.Open(goldenFrames)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(file.Close()).To(Succeed()) }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, MaxFrameBytes)
	for lines.Scan() {
		name, digits, found := strings.Cut(lines.Text(), ": ")
		Expect(found).To(BeTrue())
		frames[name], err = hex.DecodeString(digits)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(lines.Err()).NotTo(HaveOccurred())
	return frames
}

// addGoldenFrames appends the frames of messages that have no golden frame yet.
func addGoldenFrames() {
	file, err := os.OpenFile(goldenFrames, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(file.Close()).To(Succeed()) }()
	present := readGoldenFrames()
	for _, message := range goldenMessages() {
		if _, found := present[message.name]; !found {
			_, err := fmt.Fprintf(file, "%s: %x\n", message.name, Encode(message.envelope))
			Expect(err).NotTo(HaveOccurred())
		}
	}
}

var _ = Describe("Frames of an earlier release", Ordered, func() {
	var frames map[string][]byte

	BeforeAll(func() {
		if os.Getenv(writeGolden) != "" {
			addGoldenFrames()
		}
		frames = readGoldenFrames()
	})

	for _, message := range goldenMessages() {
		It("are decoded, and are encoded again to the same bytes: "+message.name, func() {
			frame, found := frames[message.name]
			Expect(found).To(BeTrue())
			Expect(MessageKindOf(frame)).To(Equal(message.kind))
			decoded, err := Decode(frame)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal(message.envelope))
			Expect(Encode(decoded)).To(Equal(frame))
			Expect(Encode(message.envelope)).To(Equal(frame))
		})
	}

	It("cover every kind of message", func() {
		covered := map[MessageKind]bool{}
		for _, message := range goldenMessages() {
			covered[message.kind] = true
			Expect(frames).To(HaveKey(message.name))
		}
		Expect(covered).To(HaveLen(int(KindCount)))
		Expect(frames).To(HaveLen(len(goldenMessages())))
	})

	It("have kinds whose names are unchanged", func() {
		var names []string
		for kind := range KindCount {
			names = append(names, kind.String())
		}
		path := "testdata/golden_kinds.txt"
		text := strings.Join(names, "\n") + "\n"
		if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv(writeGolden) != "" {
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		}
		golden, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(string(golden)))
	})
})

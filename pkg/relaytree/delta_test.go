package relaytree_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// The large state of the specs has largeStateSections sections of sectionBytes each, which is
// the size of the section of a tenant.
const (
	largeStateSections = 22_000
	sectionBytes       = 130
)

// state returns a state of one small section with the given content.
func state(content string) []relaytree.Section {
	return []relaytree.Section{{Name: alwaysChanged, Content: []byte(content)}}
}

// publishLargeState publishes a revision with the given number of sections.
func (net *network) publishLargeState(root *node, sections int) {
	net.published++
	for i := range sections {
		content := fmt.Sprintf("%0*d", sectionBytes, i)
		net.reference.set(fmt.Sprintf("section-%05d", i), net.published, content)
	}
	net.reference.sectionNames = sections
	outbox, updates := root.machine.Publish(topic, net.published, net.reference.sections())
	net.applyUpdates(root, updates)
	net.send(root, outbox)
}

var _ = Describe("updates", func() {
	It("take less than 2 KB per child for one changed section among 22,000", func() {
		net := newNetwork(1, nodeNames(5, 1))
		net.setRoot("n00")
		net.publishLargeState(net.nodes[0], largeStateSections)
		net.run(convergenceTime)
		Expect(net.lagging()).To(BeEmpty())
		fullBytes := net.bytes[relaytree.MessageUpdate] / 4
		clear(net.bytes)
		net.publish(net.nodes[0])
		net.run(betweenDigests)
		Expect(net.lagging()).To(BeEmpty())
		deltaBytes := net.bytes[relaytree.MessageUpdate] / 4
		AddReportEntry("bytes per child", fmt.Sprintf("complete state %d, delta %d", fullBytes, deltaBytes))
		Expect(fullBytes).To(BeNumerically(">", largeStateSections*sectionBytes))
		Expect(deltaBytes).To(BeNumerically("<", 2<<10))
	})

	It("take less than 2 KB per child and revision during a burst of revisions of a large state", func() {
		net := newNetwork(2, nodeNames(17, 4))
		net.setRoot("n00")
		net.publishLargeState(net.nodes[0], 20_000)
		net.run(convergenceTime)
		Expect(net.lagging()).To(BeEmpty())
		clear(net.bytes)
		for range 200 {
			net.publish(net.nodes[0])
			net.run(stepEvery)
		}
		net.run(convergenceTime)
		Expect(net.lagging()).To(BeEmpty())
		Expect(net.violations).To(BeEmpty())
		Expect(net.bytes[relaytree.MessageUpdate]).To(BeNumerically("<", 200*16*2<<10))
	})

	It("reach a node that joins during a burst of revisions, without restarts of its transfer", func() {
		net := newNetworkWithChunks(3, nodeNames(4, 1), 4<<10)
		net.setRoot("n00")
		net.nodes[3].isolated = true
		net.publishLargeState(net.nodes[0], 2_000)
		net.run(convergenceTime)
		net.nodes[3].isolated = false
		net.chunks = 0
		for range 200 {
			net.publish(net.nodes[0])
			net.run(2 * stepEvery)
		}
		Expect(net.nodes[3].revision).To(BeNumerically(">", 100))
		Expect(net.chunks).To(BeNumerically("<", 150))
		net.run(convergenceTime)
		Expect(net.lagging()).To(BeEmpty())
		Expect(net.violations).To(BeEmpty())
	})

	It("are rejected if the result of a delta has another checksum, and followed by the complete state", func() {
		sender := relaytree.New(relaytree.Config{Self: "sender"})
		sender.SetMembers([]relaytree.Member{{ID: "sender"}, {ID: "receiver"}})
		sender.SetRoot(topic, "sender")
		receiver := relaytree.New(relaytree.Config{Self: "receiver"})
		both := func(extra string) []relaytree.Section {
			return append(state(extra), relaytree.Section{Name: "other", Content: []byte("sender's")})
		}
		sender.Publish(topic, 1, both("1"))
		receiver.Publish(topic, 1, state("1"))
		sender.Step(0, "receiver", relaytree.Message{
			Type: relaytree.MessageAcknowledge, Topic: topic, Revision: 1, AcknowledgedRevision: 1,
		})
		delta, _ := sender.Publish(topic, 2, both("2"))
		Expect(delta[0].Message.BaseRevision).To(Equal(uint64(1)))
		rejection, updates := receiver.Step(0, "sender", delta[0].Message)
		Expect(updates).To(BeEmpty())
		Expect(receiver.Revision(topic)).To(Equal(uint64(1)))
		full, _ := sender.Step(0, "receiver", rejection[0].Message)
		Expect(full[0].Message.BaseRevision).To(BeZero())
		_, updates = receiver.Step(0, "sender", full[0].Message)
		Expect(updates).To(HaveLen(1))
		_, sections := receiver.Snapshot(topic)
		_, published := sender.Snapshot(topic)
		Expect(sections).To(Equal(published))
	})

	It("are ignored if they contain a complete state with a wrong checksum", func() {
		sender := relaytree.New(relaytree.Config{Self: "sender"})
		sender.SetMembers([]relaytree.Member{{ID: "sender"}, {ID: "receiver"}})
		sender.SetRoot(topic, "sender")
		full, _ := sender.Publish(topic, 1, state("1"))
		full[0].Message.Checksum++
		receiver := relaytree.New(relaytree.Config{Self: "receiver"})
		reply, updates := receiver.Step(0, "sender", full[0].Message)
		Expect(reply).To(BeEmpty())
		Expect(updates).To(BeEmpty())
		Expect(receiver.Revision(topic)).To(BeZero())
	})

	It("contain the complete state if the receiver's revision precedes the log", func() {
		root := relaytree.New(relaytree.Config{Self: "root"})
		const sections, revisions = 100, 400
		for revision := range uint64(revisions) {
			var all []relaytree.Section
			for i := range sections {
				content := fmt.Sprint(revision)
				all = append(all, relaytree.Section{Name: fmt.Sprint(i), Content: []byte(content)})
			}
			root.Publish(topic, revision+1, all)
		}
		baseFor := func(receiver member.ID, revision uint64) uint64 {
			known := []relaytree.TopicRevision{{Topic: topic, Revision: revision}}
			reply, _ := root.Step(0, receiver, relaytree.Message{Type: relaytree.MessageDigest, Revisions: known})
			Expect(reply).To(HaveLen(1))
			return reply[0].Message.BaseRevision
		}
		Expect(baseFor("late", revisions-100)).To(Equal(uint64(revisions - 100)))
		Expect(baseFor("too late", 1)).To(BeZero())
	})

	It("make all nodes converge under loss, duplication, reordering and crashes, with and without chunks, and never mix revisions", func() {
		for seed := range uint64(400) {
			chunkBytes := []int{relaytree.DefaultChunkBytes, 40}[seed%2]
			net := newNetworkWithChunks(seed, nodeNames(4+int(seed%9), 1+int(seed%3)), chunkBytes)
			net.loss = []float64{0, 0.1, 0.25}[seed%3]
			net.duplication = []float64{0, 0.3}[seed/3%2]
			net.jitter = []time.Duration{0, 60 * time.Millisecond}[seed/6%2]
			net.reference.sectionNames = 40
			root := net.nodes[net.random.IntN(len(net.nodes))]
			net.setRoot(root.id)
			for range 40 {
				net.publish(root)
				net.run(time.Duration(net.random.IntN(30)) * time.Millisecond)
			}
			net.maybeKillInnerNode(root)
			net.publish(root)
			net.run(300 * time.Millisecond)
			net.setMembers(everyNode)
			net.loss = 0
			net.run(2 * convergenceTime)
			Expect(net.lagging()).To(BeEmpty(), "seed %d", seed)
			Expect(net.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

// BenchmarkOneChange measures how long the root takes to publish a state with one changed
// section among 22,000 and a child to apply it.
func BenchmarkOneChange(b *testing.B) {
	net := newNetwork(1, nodeNames(2, 1))
	net.setRoot("n00")
	net.publishLargeState(net.nodes[0], largeStateSections)
	net.run(convergenceTime)
	root, child := net.nodes[0].machine, net.nodes[1].machine
	sections := net.reference.sections()
	b.ResetTimer()
	for b.Loop() {
		net.published++
		sections[0].Content = []byte(fmt.Sprint(net.published))
		outbox, _ := root.Publish(topic, net.published, sections)
		for _, out := range outbox {
			deliverFrame(root, child, out, "n01")
		}
	}
}

// BenchmarkApplyOneChange measures how long the encoding, the decoding and the child's
// application of the update of BenchmarkOneChange take, and the handling of its
// acknowledgement.
func BenchmarkApplyOneChange(b *testing.B) {
	net := newNetwork(1, nodeNames(2, 1))
	net.setRoot("n00")
	net.publishLargeState(net.nodes[0], largeStateSections)
	net.run(convergenceTime)
	root, child := net.nodes[0].machine, net.nodes[1].machine
	sections := net.reference.sections()
	for b.Loop() {
		b.StopTimer()
		net.published++
		sections[0].Content = []byte(fmt.Sprint(net.published))
		outbox, _ := root.Publish(topic, net.published, sections)
		b.StartTimer()
		for _, out := range outbox {
			deliverFrame(root, child, out, "n01")
		}
	}
}

// deliverFrame encodes an update, decodes it, passes it to receiver, and passes the replies
// back to sender.
func deliverFrame(sender, receiver *relaytree.Machine, out relaytree.Outbound, to member.ID) {
	frame := wire.Encode(wire.Envelope{Relay: &out.Message})
	decoded, err := wire.Decode(frame)
	if err != nil {
		panic(err)
	}
	replies, _ := receiver.Step(0, "n00", *decoded.Relay)
	for _, reply := range replies {
		sender.Step(0, to, reply.Message)
	}
}

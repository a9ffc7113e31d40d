package relaytree_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// newChunkedMachine returns a machine that sends each section in a chunk of its own.
func newChunkedMachine(id member.ID) *relaytree.Machine {
	return relaytree.New(relaytree.Config{Self: id, ChunkBytes: 1})
}

// threeSections returns a state of three sections, which newChunkedMachine sends in three
// chunks.
func threeSections(content string) []relaytree.Section {
	sections := state(content)
	for _, name := range []string{"second", "third"} {
		sections = append(sections, relaytree.Section{Name: name, Content: []byte(content)})
	}
	return sections
}

// digestFrom passes a digest of a member to sender, and returns what sender sends.
func digestFrom(id member.ID, sender *relaytree.Machine, known ...relaytree.TopicRevision) []relaytree.Outbound {
	sent, _ := sender.Step(0, id, relaytree.Message{Type: relaytree.MessageDigest, Revisions: known})
	return sent
}

// acknowledgementFrom passes a member's acknowledgement of the first chunks of an update to
// sender, and returns what sender sends.
func acknowledgementFrom(id member.ID, sender *relaytree.Machine, revision uint64, chunk uint32) []relaytree.Outbound {
	sent, _ := sender.Step(0, id, relaytree.Message{
		Type: relaytree.MessageAcknowledge, Topic: topic, AcknowledgedRevision: revision, Chunk: chunk,
	})
	return sent
}

var _ = Describe("a transfer in chunks", func() {
	var sender *relaytree.Machine

	BeforeEach(func() {
		sender = newChunkedMachine("sender")
		sender.Publish(topic, 1, threeSections("1"))
	})

	It("sends one chunk a round trip, despite duplicate acknowledgements", func() {
		first := digestFrom("late", sender)
		Expect(first).To(HaveLen(1))
		Expect(first[0].Message.ChunkCount).To(Equal(uint32(3)))
		second := acknowledgementFrom("late", sender, 1, 1)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Message.Chunk).To(Equal(uint32(1)))
		Expect(acknowledgementFrom("late", sender, 1, 1)).To(BeEmpty())
	})

	It("resends an unacknowledged chunk a bounded number of times", func() {
		digestFrom("late", sender)
		sent := 0
		for tick := range time.Duration(20) {
			sent += len(sender.Tick(tick * relaytree.DefaultDigestEvery))
		}
		Expect(sent).To(Equal(8))
	})

	It("sends a second receiver the same older complete state", func() {
		digestFrom("late", sender)
		sender.Publish(topic, 2, threeSections("2"))
		other := digestFrom("later", sender)
		Expect(other[0].Message.Revision).To(Equal(uint64(1)))
	})

	It("sends nothing to a member whose digest shows that it is assembling an update", func() {
		receiving := relaytree.TopicRevision{Topic: topic, Assembling: true}
		Expect(digestFrom("late", sender, receiving)).To(BeEmpty())
	})

	It("is shown as Assembling in the receiver's digests until the last chunk is received", func() {
		receiver := newChunkedMachine("receiver")
		receiver.SetMembers([]relaytree.Member{{ID: "sender"}})
		chunk := digestFrom("receiver", sender)
		for receiving := range 3 {
			receiver.Step(0, "sender", chunk[0].Message)
			digest := receiver.Tick(relaytree.DefaultDigestEvery * time.Duration(receiving))
			Expect(digest[0].Message.Revisions[0].Assembling).To(Equal(receiving < 2))
			chunk = acknowledgementFrom("receiver", sender, 1, uint32(receiving+1))
		}
		Expect(receiver.Revision(topic)).To(Equal(uint64(1)))
	})

	It("ignores chunks of a second sender, and starts again for another revision", func() {
		receiver := newChunkedMachine("receiver")
		chunk := digestFrom("receiver", sender)[0].Message
		reply, _ := receiver.Step(0, "sender", chunk)
		Expect(reply[0].Message.Chunk).To(Equal(uint32(1)))
		reply, _ = receiver.Step(0, "another", chunk)
		Expect(reply).To(BeEmpty())
		chunk.Revision, chunk.Chunk = 2, 1
		reply, _ = receiver.Step(0, "sender", chunk)
		Expect(reply[0].Message.Chunk).To(BeZero())
	})
})

package relaytree_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// newChunkedMachine is a machine that sends its state in one part a section.
func newChunkedMachine(id member.ID) *relaytree.Machine {
	return relaytree.New(relaytree.Config{Self: id, ChunkBytes: 1})
}

// threeSections is a state in three parts.
func threeSections(content string) []relaytree.Section {
	sections := state(content)
	for _, name := range []string{"second", "third"} {
		sections = append(sections, relaytree.Section{Name: name, Content: []byte(content)})
	}
	return sections
}

// digestFrom lets a member that holds nothing send its digest.
func digestFrom(id member.ID, sender *relaytree.Machine, known ...relaytree.TopicRevision) []relaytree.Outbound {
	sent, _ := sender.Step(0, id, relaytree.Message{Type: relaytree.MessageDigest, Revisions: known})
	return sent
}

// acknowledgementFrom lets a member acknowledge parts.
func acknowledgementFrom(id member.ID, sender *relaytree.Machine, revision uint64, part uint32) []relaytree.Outbound {
	sent, _ := sender.Step(0, id, relaytree.Message{
		Type: relaytree.MessageAcknowledge, Topic: topic, AcknowledgedRevision: revision, Chunk: part,
	})
	return sent
}

var _ = Describe("a transfer in parts", func() {
	var sender *relaytree.Machine

	BeforeEach(func() {
		sender = newChunkedMachine("sender")
		sender.Publish(topic, 1, threeSections("1"))
	})

	It("sends one part a round trip, whatever comes twice", func() {
		first := digestFrom("late", sender)
		Expect(first).To(HaveLen(1))
		Expect(first[0].Message.ChunkCount).To(Equal(uint32(3)))
		second := acknowledgementFrom("late", sender, 1, 1)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Message.Chunk).To(Equal(uint32(1)))
		Expect(acknowledgementFrom("late", sender, 1, 1)).To(BeEmpty())
	})

	It("repeats a part that is not acknowledged, a bounded number of times", func() {
		digestFrom("late", sender)
		sent := 0
		for tick := range time.Duration(20) {
			sent += len(sender.Tick(tick * relaytree.DefaultDigestEvery))
		}
		Expect(sent).To(Equal(8))
	})

	It("gives a further receiver the same snapshot, and then the rest", func() {
		digestFrom("late", sender)
		sender.Publish(topic, 2, threeSections("2"))
		other := digestFrom("later", sender)
		Expect(other[0].Message.Revision).To(Equal(uint64(1)))
	})

	It("leaves alone whoever receives from another", func() {
		receiving := relaytree.TopicRevision{Topic: topic, Assembling: true}
		Expect(digestFrom("late", sender, receiving)).To(BeEmpty())
	})

	It("is told of in the receiver's digests until it ends", func() {
		receiver := newChunkedMachine("receiver")
		receiver.SetMembers([]relaytree.Member{{ID: "sender"}})
		part := digestFrom("receiver", sender)
		for receiving := range 3 {
			receiver.Step(0, "sender", part[0].Message)
			digest := receiver.Tick(relaytree.DefaultDigestEvery * time.Duration(receiving))
			Expect(digest[0].Message.Revisions[0].Assembling).To(Equal(receiving < 2))
			part = acknowledgementFrom("receiver", sender, 1, uint32(receiving+1))
		}
		Expect(receiver.Revision(topic)).To(Equal(uint64(1)))
	})

	It("takes parts of one sender and one revision at a time", func() {
		receiver := newChunkedMachine("receiver")
		part := digestFrom("receiver", sender)[0].Message
		answer, _ := receiver.Step(0, "sender", part)
		Expect(answer[0].Message.Chunk).To(Equal(uint32(1)))
		answer, _ = receiver.Step(0, "another", part)
		Expect(answer).To(BeEmpty())
		part.Revision, part.Chunk = 2, 1
		answer, _ = receiver.Step(0, "sender", part)
		Expect(answer[0].Message.Chunk).To(BeZero())
	})
})

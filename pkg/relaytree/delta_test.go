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

// largeState is a state of many sections of the size of a tenant.
const (
	largeState   = 22_000
	sectionBytes = 130
)

// state is a small state that differs by its content.
func state(content string) []relaytree.Section {
	return []relaytree.Section{{Name: alwaysChanged, Content: []byte(content)}}
}

// fill publishes the first revision, with many sections.
func (w *network) fill(root *node, sections int) {
	w.published++
	for i := range sections {
		content := fmt.Sprintf("%0*d", sectionBytes, i)
		w.truth.set(fmt.Sprintf("section-%05d", i), w.published, content)
	}
	w.truth.names = sections
	outbox, updates := root.machine.Publish(topic, w.published, w.truth.sections())
	w.take(root, updates)
	w.send(root, outbox)
}

var _ = Describe("deltas", func() {
	It("cost less than 2 KB a child for one change among 22,000 sections", func() {
		w := newNetwork(1, numbered(5, 1))
		w.setRoot("n00")
		w.fill(w.nodes[0], largeState)
		w.run(convergence)
		Expect(w.behind()).To(BeEmpty())
		whole := w.bytes[relaytree.MessageUpdate] / 4
		clear(w.bytes)
		w.publish(w.nodes[0])
		w.run(betweenDigests)
		Expect(w.behind()).To(BeEmpty())
		delta := w.bytes[relaytree.MessageUpdate] / 4
		AddReportEntry("bytes a child", fmt.Sprintf("whole %d, delta %d", whole, delta))
		Expect(whole).To(BeNumerically(">", largeState*sectionBytes))
		Expect(delta).To(BeNumerically("<", 2<<10))
	})

	It("serve a storm on a large state with no further whole state", func() {
		w := newNetwork(2, numbered(17, 4))
		w.setRoot("n00")
		w.fill(w.nodes[0], 20_000)
		w.run(convergence)
		Expect(w.behind()).To(BeEmpty())
		clear(w.bytes)
		for range 200 {
			w.publish(w.nodes[0])
			w.run(stepEvery)
		}
		w.run(convergence)
		Expect(w.behind()).To(BeEmpty())
		Expect(w.violations).To(BeEmpty())
		Expect(w.bytes[relaytree.MessageUpdate]).To(BeNumerically("<", 200*16*2<<10))
	})

	It("reach a node that starts during a storm, which doesn't start its transfer anew", func() {
		w := newNetworkWithParts(3, numbered(4, 1), 4<<10)
		w.setRoot("n00")
		w.nodes[3].deaf = true
		w.fill(w.nodes[0], 2_000)
		w.run(convergence)
		w.nodes[3].deaf = false
		w.parts = 0
		for range 200 {
			w.publish(w.nodes[0])
			w.run(2 * stepEvery)
		}
		Expect(w.nodes[3].newest).To(BeNumerically(">", 100))
		Expect(w.parts).To(BeNumerically("<", 150))
		w.run(convergence)
		Expect(w.behind()).To(BeEmpty())
		Expect(w.violations).To(BeEmpty())
	})

	It("are refused for another state, and followed by a whole one", func() {
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
			Type: relaytree.MessageAcknowledge, Topic: topic, Revision: 1, Answers: 1,
		})
		delta, _ := sender.Publish(topic, 2, both("2"))
		Expect(delta[0].Message.BaseRevision).To(Equal(uint64(1)))
		refusal, updates := receiver.Step(0, "sender", delta[0].Message)
		Expect(updates).To(BeEmpty())
		Expect(receiver.Revision(topic)).To(Equal(uint64(1)))
		whole, _ := sender.Step(0, "receiver", refusal[0].Message)
		Expect(whole[0].Message.BaseRevision).To(BeZero())
		_, updates = receiver.Step(0, "sender", whole[0].Message)
		Expect(updates).To(HaveLen(1))
		_, sections := receiver.Held(topic)
		_, published := sender.Held(topic)
		Expect(sections).To(Equal(published))
	})

	It("never take a damaged whole state", func() {
		sender := relaytree.New(relaytree.Config{Self: "sender"})
		sender.SetMembers([]relaytree.Member{{ID: "sender"}, {ID: "receiver"}})
		sender.SetRoot(topic, "sender")
		whole, _ := sender.Publish(topic, 1, state("1"))
		whole[0].Message.Checksum++
		receiver := relaytree.New(relaytree.Config{Self: "receiver"})
		answer, updates := receiver.Step(0, "sender", whole[0].Message)
		Expect(answer).To(BeEmpty())
		Expect(updates).To(BeEmpty())
		Expect(receiver.Revision(topic)).To(BeZero())
	})

	It("give way to a whole state where the changes are no longer known", func() {
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
		baseFor := func(holder member.ID, revision uint64) uint64 {
			known := []relaytree.TopicRevision{{Topic: topic, Revision: revision}}
			answer, _ := root.Step(0, holder, relaytree.Message{Type: relaytree.MessageDigest, Known: known})
			Expect(answer).To(HaveLen(1))
			return answer[0].Message.BaseRevision
		}
		Expect(baseFor("late", revisions-100)).To(Equal(uint64(revisions - 100)))
		Expect(baseFor("too late", 1)).To(BeZero())
	})

	It("converge under loss, duplication, reordering and death, in parts or whole, and never mix", func() {
		for seed := range uint64(400) {
			parts := []int{relaytree.DefaultPartBytes, 40}[seed%2]
			w := newNetworkWithParts(seed, numbered(4+int(seed%9), 1+int(seed%3)), parts)
			w.loss = []float64{0, 0.1, 0.25}[seed%3]
			w.duplication = []float64{0, 0.3}[seed/3%2]
			w.jitter = []time.Duration{0, 60 * time.Millisecond}[seed/6%2]
			w.truth.names = 40
			root := w.nodes[w.random.IntN(len(w.nodes))]
			w.setRoot(root.id)
			for range 40 {
				w.publish(root)
				w.run(time.Duration(w.random.IntN(30)) * time.Millisecond)
			}
			w.killInner(root)
			w.publish(root)
			w.run(300 * time.Millisecond)
			w.tellMembers(everyone)
			w.loss = 0
			w.run(2 * convergence)
			Expect(w.behind()).To(BeEmpty(), "seed %d", seed)
			Expect(w.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

// BenchmarkOneChange is the time in which the root publishes a state with one
// changed section among 22,000 and a child takes it.
func BenchmarkOneChange(b *testing.B) {
	w := newNetwork(1, numbered(2, 1))
	w.setRoot("n00")
	w.fill(w.nodes[0], largeState)
	w.run(convergence)
	root, child := w.nodes[0].machine, w.nodes[1].machine
	sections := w.truth.sections()
	b.ResetTimer()
	for b.Loop() {
		w.published++
		sections[0].Content = []byte(fmt.Sprint(w.published))
		outbox, _ := root.Publish(topic, w.published, sections)
		for _, out := range outbox {
			takeFrame(root, child, out, "n01")
		}
	}
}

// BenchmarkTakeOneChange is the child's share of it, with the decoding.
func BenchmarkTakeOneChange(b *testing.B) {
	w := newNetwork(1, numbered(2, 1))
	w.setRoot("n00")
	w.fill(w.nodes[0], largeState)
	w.run(convergence)
	root, child := w.nodes[0].machine, w.nodes[1].machine
	sections := w.truth.sections()
	for b.Loop() {
		b.StopTimer()
		w.published++
		sections[0].Content = []byte(fmt.Sprint(w.published))
		outbox, _ := root.Publish(topic, w.published, sections)
		b.StartTimer()
		for _, out := range outbox {
			takeFrame(root, child, out, "n01")
		}
	}
}

// takeFrame carries one update over the wire, and its acknowledgement back.
func takeFrame(sender, receiver *relaytree.Machine, out relaytree.Outbound, to member.ID) {
	frame := wire.Encode(wire.Envelope{Relay: &out.Message})
	decoded, err := wire.Decode(frame)
	if err != nil {
		panic(err)
	}
	answers, _ := receiver.Step(0, "n00", *decoded.Relay)
	for _, answer := range answers {
		sender.Step(0, to, answer.Message)
	}
}

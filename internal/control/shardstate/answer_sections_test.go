package shardstate

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

var _ = Describe("The relayed answers", func() {
	It("end with the answer to the order that led to the revision, whatever is accepted later", func() {
		answer := func(id string, revision uint64) *controlpb.Answer {
			return &controlpb.Answer{OrderId: id, Revision: revision}
		}
		accepted := []*controlpb.Answer{answer("a", 1), answer("kept-1", 1), answer("b", 2)}
		first, err := encodeAnswers(2, accepted)
		Expect(err).NotTo(HaveOccurred())
		later, err := encodeAnswers(2, append(accepted, answer("kept-2", 2)))
		Expect(err).NotTo(HaveOccurred())
		Expect(later).To(Equal(first))
		decoded, err := DecodeAnswers(first)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(HaveLen(3))
		next, err := encodeAnswers(3, append(accepted, answer("kept-2", 2), answer("c", 3)))
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(HaveLen(5))
	})

	It("are the newest ones where there are too many", func() {
		var answers []*controlpb.Answer
		for revision := range uint64(maxRelayedAnswers + 9) {
			answers = append(answers, &controlpb.Answer{OrderId: fmt.Sprint(revision + 1), Revision: revision + 1})
		}
		sections, err := encodeAnswers(maxRelayedAnswers+9, answers)
		Expect(err).NotTo(HaveOccurred())
		Expect(sections).To(HaveLen(maxRelayedAnswers))
		Expect(sections[0].Name).To(Equal(answerPrefix + "10"))
	})
})

package standin_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

func encode(value any) string {
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("Responses", func() {
	It("distinguishes a complete response from a truncated, swapped or changed one", func() {
		answer := standin.NewCompleteResponse("r1", 20)
		body := encode(answer)
		Expect(standin.CheckComplete("r1", []byte(body))).To(Succeed())
		Expect(standin.CheckComplete("r1", []byte(body[:len(body)-10]))).NotTo(Succeed())
		Expect(standin.CheckComplete("r2", []byte(body))).NotTo(Succeed())
		answer.Output = answer.Output[:8]
		Expect(standin.CheckComplete("r1", []byte(encode(answer)))).NotTo(Succeed())
	})

	It("returns the same output in chunks as in one piece", func() {
		Expect(standin.Output("r", 0, 8) + standin.Output("r", 8, 20)).To(Equal(standin.Output("r", 0, 20)))
		Expect(standin.Output("r", 0, 20)).NotTo(Equal(standin.Output("s", 0, 20)))
	})

	Describe("StreamCheck", func() {
		var check *standin.StreamCheck
		chunk := func(id string, first, end uint32) string {
			return encode(standin.ChunkResponse{RequestID: id, Output: standin.Output("r1", first, end)})
		}
		digest := encode(standin.DigestResponse{RequestID: "r1", Digest: standin.Digest("r1", standin.Output("r1", 0, 16))})
		BeforeEach(func() { check = standin.NewStreamCheck("r1") })

		It("accepts a complete stream", func() {
			check.Event("", chunk("r1", 0, 8))
			check.Event("", chunk("r1", 8, 16))
			check.Event(standin.EventDigest, digest)
			check.Event("", "[DONE]")
			Expect(check.Err()).To(Succeed())
		})

		It("rejects a stream without the end event, with missing output, or with an event of another request", func() {
			check.Event("", chunk("r1", 0, 8))
			Expect(check.Err()).NotTo(Succeed())
			check.Event(standin.EventDigest, digest)
			check.Event("", "[DONE]")
			Expect(check.Err()).NotTo(Succeed())

			swapped := standin.NewStreamCheck("r1")
			swapped.Event("", chunk("r2", 0, 16))
			swapped.Event(standin.EventDigest, digest)
			swapped.Event("", "[DONE]")
			Expect(swapped.Err()).NotTo(Succeed())
		})
	})
})

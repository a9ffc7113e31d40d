package transport

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func text(frames [][]byte) []string {
	var converted []string
	for _, frame := range frames {
		converted = append(converted, string(frame))
	}
	return converted
}

var _ = Describe("A queue", func() {
	It("drops the oldest frames when it would exceed its maximum number of frames", func() {
		bounded := newQueue(2, 100)
		Expect(bounded.push([]byte("a"))).To(Equal(0))
		Expect(bounded.push([]byte("b"))).To(Equal(0))
		Expect(bounded.push([]byte("c"))).To(Equal(1))
		Expect(text(bounded.pop(100))).To(Equal([]string{"b", "c"}))
	})

	It("drops the oldest frames when it would exceed its maximum number of bytes", func() {
		bounded := newQueue(100, 6)
		bounded.push([]byte("aaa"))
		bounded.push([]byte("bbb"))
		Expect(bounded.push([]byte("cccc"))).To(Equal(2))
		frames, bytes := bounded.size()
		Expect([]int{frames, bytes}).To(Equal([]int{1, 4}))
	})

	It("pops at least one frame, and further frames only up to the requested number of bytes", func() {
		bounded := newQueue(100, 100)
		for _, frame := range []string{"aaaa", "bb", "cc", "d"} {
			bounded.push([]byte(frame))
		}
		Expect(text(bounded.pop(3))).To(Equal([]string{"aaaa"}))
		Expect(text(bounded.pop(4))).To(Equal([]string{"bb", "cc"}))
		Expect(text(bounded.pop(4))).To(Equal([]string{"d"}))
		Expect(bounded.pop(4)).To(BeEmpty())
	})
})

package requests

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

var _ = Describe("rejections", func() {
	It("keep the newest answers up to their maximum number", func() {
		kept := newRejections()
		for number := range uint64(maxRejections + 10) {
			kept.add(requestKey{from: "n", request: number}, &controlpb.Answer{Revision: number}, time.Hour)
		}
		Expect(kept.byRequest).To(HaveLen(maxRejections))
		Expect(kept.lookup(requestKey{from: "n", request: 9})).To(BeNil())
		Expect(kept.lookup(requestKey{from: "n", request: 10}).GetRevision()).To(BeEquivalentTo(10))
	})
})

var _ = Describe("a rejection", func() {
	It("is removed when its time has passed, and not before", func() {
		kept := newRejections()
		key := requestKey{from: "n", request: 1}
		kept.add(key, &controlpb.Answer{Revision: 1}, time.Second)
		kept.expire(time.Second - 1)
		Expect(kept.lookup(key)).NotTo(BeNil())
		kept.expire(time.Second)
		Expect(kept.byRequest).To(BeEmpty())
		Expect(kept.byExpiry).To(BeEmpty())
	})
})

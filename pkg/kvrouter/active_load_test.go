package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

var _ = Describe("Active requests", func() {
	It("are the local ones and those that other routers sent, together", func() {
		router := kvrouter.New(kvrouter.Options{})
		Expect(router.ActiveRequests(0, "a:1")).To(BeZero())
		decision, err := router.Select(kvrouter.Request{Model: "m", SaltFor: func(string) string { return "salt" }, Settings: kvrouter.DefaultSettings()},
			[]kvrouter.Candidate{{Address: "a:1", WeightVersion: "w"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(router.ActiveRequests(0, "a:1")).To(Equal(1.0))
		router.SetRemoteLoad(0, "other", "a:1", kvrouter.SharedLoad{Requests: 3})
		Expect(router.ActiveRequests(0, "a:1")).To(Equal(4.0))
		decision.Reservation.Finish(time.Millisecond, true)
		Expect(router.ActiveRequests(time.Millisecond, "a:1")).To(Equal(3.0))
	})
})

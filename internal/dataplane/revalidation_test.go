package dataplane_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

var _ = Describe("The last check of the newest view before an attempt is sent", func() {
	// changeAt sends a request during which a changed view is published right after the
	// given read of the view. It returns the request's outcome, and the replica.
	changeAt := func(read int64, change func(f *fixture)) (outcome, *fakeReplica) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.source.onView = func(call int64) {
			if call == read {
				change(f)
				f.publish()
			}
		}
		return f.generate(), backend
	}

	It("prevents sending to a replica that has stopped admitting at any time before the check", func() {
		const readsBeforeSending = 5
		for read := int64(1); read <= readsBeforeSending; read++ {
			got, backend := changeAt(read, func(f *fixture) { f.replicas[0].Admitting = false })
			if len(backend.requests()) > 0 {
				Expect(read).To(Equal(int64(readsBeforeSending)), "the change came after the last read")
				continue
			}
			Expect(got.problem.Kind).To(Equal(caller.KindNoBackend))
			Expect(got.problem.MayHaveRun).To(BeFalse())
		}
	})

	It("prevents sending the cache salt of an earlier sharing domain", func() {
		for read := int64(1); read <= 4; read++ {
			got, backend := changeAt(read, func(f *fixture) { f.sharingDomain = "court/2" })
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(backend.requests()).To(HaveLen(1))
			Expect(backend.requests()[0].Header.Get(replica.HeaderCacheSalt)).To(
				Equal(replica.CacheSalt(poolModel, weightsOne, "court/2")), "changed after read %d", read)
		}
	})

	It("determines the cache salt by the newest weight version", func() {
		got, backend := changeAt(3, func(f *fixture) { f.replicas[0].WeightVersion = "weights-2" })
		Expect(backend.requests()).To(HaveLen(1))
		Expect(backend.requests()[0].Header.Get(replica.HeaderCacheSalt)).To(Equal(replica.CacheSalt(poolModel, "weights-2", "shared/1")))
		// The fake replica still responds with the first weight version.
		Expect(got.problem.Kind).To(Equal(caller.KindOutcomeUnknown))
	})
})

var _ = Describe("A request that is submitted twice", func() {
	requestID := header{"Request-Id", "same"}

	It("is refused after its response", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		Expect(f.generate(requestID).status).To(Equal(http.StatusOK))
		again := f.generate(requestID)
		Expect(again.status).To(Equal(http.StatusConflict))
		Expect(again.problem.Kind).To(Equal(caller.KindDuplicateRequest))
		Expect(again.problem.MayHaveRun).To(BeTrue())
		Expect(backend.requests()).To(HaveLen(1))
		By("accepting the same request ID of another tenant")
		Expect(f.generate(requestID, header{"Authorization", "Bearer " + schoolKey}).status).To(Equal(http.StatusOK))
	})

	It("is refused while it runs", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		first := make(chan outcome)
		go func() { first <- f.generate(requestID) }()
		<-arrived
		Expect(f.generate(requestID).problem.Kind).To(Equal(caller.KindDuplicateRequest))
		close(proceed)
		Expect((<-first).status).To(Equal(http.StatusOK))
		Expect(backend.requests()).To(HaveLen(1))
	})

	It("is accepted again after it has certainly not run", func() {
		refuse := true
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			if refuse {
				refusing()(writer, request)
				return
			}
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		Expect(f.generate(requestID).problem.MayHaveRun).To(BeFalse())
		refuse = false
		Expect(f.generate(requestID).status).To(Equal(http.StatusOK))
	})

	It("is not accepted again when it may have run", func() {
		backend := newReplica(aborting())
		f := newFixture(backend.address())
		Expect(f.generate(requestID).problem.MayHaveRun).To(BeTrue())
		Expect(f.generate(requestID).problem.Kind).To(Equal(caller.KindDuplicateRequest))
		Expect(backend.requests()).To(HaveLen(1))
	})

	repeatable, once := header{"Repeatable", "true"}, header{"Repeatable", "false"}

	DescribeTable("after its response, which the caller may not have received", func(first, second header, accepted bool) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		Expect(f.generate(requestID, first).status).To(Equal(http.StatusOK))
		again := f.generate(requestID, second)
		if accepted {
			Expect(again.status).To(Equal(http.StatusOK))
			Expect(backend.requests()).To(HaveLen(2))
			return
		}
		Expect(again.problem.Kind).To(Equal(caller.KindDuplicateRequest))
		Expect(backend.requests()).To(HaveLen(1))
	},
		Entry("is accepted again if both are repeatable", repeatable, repeatable, true),
		Entry("is refused if the first is not repeatable", once, repeatable, false),
		Entry("is refused if the second is not repeatable", repeatable, once, false),
	)

	DescribeTable("while the first one runs, whose caller may have disconnected unnoticed", func(first, second header, accepted bool) {
		arrived, proceed := make(chan struct{}, 2), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		release := sync.OnceFunc(func() { close(proceed) })
		DeferCleanup(release)
		responses := make(chan outcome, 2)
		go func() { responses <- f.generate(requestID, first) }()
		Eventually(arrived).WithTimeout(waitTimeout).Should(Receive())
		go func() { responses <- f.generate(requestID, second) }()
		if accepted {
			Eventually(arrived).WithTimeout(waitTimeout).Should(Receive())
		} else {
			var refused outcome
			Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&refused))
			Expect(refused.problem.Kind).To(Equal(caller.KindDuplicateRequest))
			Expect(backend.requests()).To(HaveLen(1))
		}
		release()
		var responded outcome
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&responded))
		Expect(responded.status).To(Equal(http.StatusOK))
	},
		Entry("is accepted if both are repeatable", repeatable, repeatable, true),
		Entry("is refused if the first is not repeatable", once, repeatable, false),
		Entry("is refused if the second is not repeatable", repeatable, once, false),
	)

	It("is refused if it is not repeatable, after the response to a repeatable one was lost", func() {
		backend := newReplica(aborting())
		f := newFixture(backend.address())
		Expect(f.generate(requestID, repeatable).problem.MayHaveRun).To(BeTrue())
		Expect(f.generate(requestID, once).problem.Kind).To(Equal(caller.KindDuplicateRequest))
		Expect(backend.requests()).To(HaveLen(1))
	})

	DescribeTable("to resume a stream that was written completely", func(resumable bool, runs int) {
		backend := newReplica(streaming("a", "b", replica.StreamEnd))
		f := newFixture(backend.address())
		f.route = &ridgeswitchv1.Route{Kind: ridgeswitchv1.RequestKind_STREAMING, Resumable: resumable}
		f.publish()
		Expect(f.generate(requestID).err).NotTo(HaveOccurred())
		again := f.generate(requestID, header{"Last-Event-Id", "1"})
		Expect(backend.requests()).To(HaveLen(runs))
		Expect(again.status == http.StatusOK).To(Equal(runs == 2))
	},
		Entry("runs again if the route is resumable", true, 2),
		Entry("does not run again if the route is not resumable", false, 1),
	)
})

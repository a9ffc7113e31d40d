package dataplane_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("A request to a pool", func() {
	It("is forwarded to the replica, and the response to the caller", func() {
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Lab-Digest", "abc")
			writer.Header().Set(replica.HeaderReusedTokens, "16")
			writer.Header().Set("Internal-Detail", "hidden")
			respondWith("the answer")(writer, request)
		})
		f := newFixture(backend.address())
		got := f.generate(header{"Request-Id", "r-1"}, header{"Lab-Tenant", "court"}, header{"Output-Tokens", "8"}, header{"Idempotency-Key", "k"})
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("the answer"))
		Expect(got.header.Get("Request-Id")).To(Equal("r-1"))
		Expect(got.header.Get("Lab-Digest")).To(Equal("abc"))
		Expect(got.header.Get("Reused-Tokens")).To(Equal("16"))
		Expect(got.header).NotTo(HaveKey("Internal-Detail"))

		Expect(backend.requests()).To(HaveLen(1))
		sent := backend.requests()[0].Header
		Expect(sent.Get(replica.HeaderModel)).To(Equal(poolModel))
		Expect(sent.Get(replica.HeaderCacheSalt)).To(Equal(replica.CacheSalt(poolModel, weightsOne, "shared/1")))
		Expect(sent.Get(replica.HeaderPrefix)).To(Equal("case;tokens=32, question;tokens=16"))
		Expect(sent.Get(replica.HeaderRequestID)).To(Equal("r-1"))
		Expect(sent.Get(replica.HeaderAttempt)).To(Equal("1"))
		Expect(sent.Get(replica.HeaderOutputTokens)).To(Equal("8"))
		Expect(sent.Get("Lab-Tenant")).To(Equal("court"))
		Expect(sent).NotTo(HaveKey("Authorization"))
		Expect(sent).NotTo(HaveKey("Idempotency-Key"))
		Expect(backend.bodies).To(Equal([]string{defaultBody}))
		Expect(f.server.InFlight(backend.address())).To(BeZero())
	})

	It("of a walled tenant has its own cache salt", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.generate()
		f.generate(header{"Authorization", "Bearer " + schoolKey})
		sent := backend.requests()
		Expect(sent[0].Header.Get(replica.HeaderCacheSalt)).NotTo(Equal(sent[1].Header.Get(replica.HeaderCacheSalt)))
	})

	DescribeTable("is refused before any attempt", func(status int, kind caller.Kind, headers ...header) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		got := f.generate(headers...)
		Expect(got.status).To(Equal(status))
		Expect(got.problem.Kind).To(Equal(kind))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(got.problem.Message).NotTo(BeEmpty())
		Expect(got.problem.RequestID).NotTo(BeEmpty())
		Expect(backend.requests()).To(BeEmpty())
	},
		Entry("without a known key", 401, caller.KindUnauthorized, header{"Authorization", "Bearer other"}),
		Entry("for another model", 400, caller.KindModelMismatch, header{"Model", "small"}),
		Entry("with a bad prefix", 400, caller.KindBadRequest, header{"Prefix", "case"}),
		Entry("with a bad repeatable", 400, caller.KindBadRequest, header{"Repeatable", "perhaps"}),
		Entry("with a bad deadline", 400, caller.KindBadRequest, header{"Deadline-Ms", "0"}),
	)

	It("is refused for an unknown host", func() {
		got := newFixture().send(http.MethodPost, "other.example", "/")
		Expect(got.status).To(Equal(http.StatusNotFound))
		Expect(got.problem.Kind).To(Equal(caller.KindUnknownHost))
	})

	It("is refused before any other check while the node may not serve", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.source.refusal = errors.New("cut off")
		got := f.generate(header{"Authorization", "Bearer other"})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.Kind).To(Equal(caller.KindNotServing))
		Expect(got.problem.RequestID).NotTo(BeEmpty())
		Expect(got.header.Get("Request-Id")).To(Equal(got.problem.RequestID))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
	})

	DescribeTable("is refused with a Retry-After while the node has no configuration", func(view *routing.View) {
		f := newFixture(newReplica(respondWith("ok")).address())
		f.source.view.Store(view)
		for _, key := range []string{courtKey, "no key"} {
			got := f.generate(header{"Authorization", "Bearer " + key})
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.problem.Kind).To(Equal(caller.KindNotServing))
			Expect(got.header.Get("Retry-After")).To(Equal("1"))
		}
		Expect(f.send(http.MethodGet, "gone.example", "/").status).To(Equal(http.StatusServiceUnavailable))
	},
		Entry("and no view", nil),
		Entry("and an empty view", &routing.View{}),
		Entry("but knows the evacuated zones", &routing.View{Revision: 3, Configuration: &ridgeswitchv1.Configuration{
			Revision: 3, Evacuations: []*ridgeswitchv1.ZoneEvacuation{{Zone: "south"}},
		}}),
	)

	It("is refused with status 404 if the configuration has no routes", func() {
		f := newFixture()
		f.source.view.Store(&routing.View{Configuration: &ridgeswitchv1.Configuration{Source: &ridgeswitchv1.SourceVersion{Version: 7}}})
		Expect(f.generate().status).To(Equal(http.StatusNotFound))
	})

	It("is refused if its key is revoked before it is sent", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.source.onServing = func(call int) {
			if call == 2 {
				f.source.view.Store(&routing.View{Pools: f.source.View().Pools})
			}
		}
		got := f.generate()
		Expect(got.problem.Kind).To(Equal(caller.KindUnauthorized))
		Expect(backend.requests()).To(BeEmpty())
	})

	It("is not sent to a replica that does not admit", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.replicas[0].Admitting = false
		f.publish()
		got := f.generate()
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(backend.requests()).To(BeEmpty())
	})

	It("is not sent to a replica whose weight version is not confirmed", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.replicas[0].WeightVersion = ""
		f.publish()
		Expect(f.generate().problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(backend.requests()).To(BeEmpty())
	})

	It("fails if the response was produced by other weights", func() {
		backend := newReplica(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(replica.HeaderWeightVersion, "weights-2")
		})
		f := newFixture(backend.address())
		got := f.generate()
		Expect(got.problem.Kind).To(Equal(caller.KindOutcomeUnknown))
		Expect(got.problem.MayHaveRun).To(BeTrue())
		By("sending no further requests to the replica")
		Expect(f.generate().problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(backend.requests()).To(HaveLen(1))
	})

	It("fails if the response belongs to another attempt", func() {
		backend := newReplica(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(replica.HeaderAttemptID, "another")
			_, _ = writer.Write([]byte("someone else's"))
		})
		got := newFixture(backend.address()).generate()
		Expect(got.problem.Kind).To(Equal(caller.KindOutcomeUnknown))
		Expect(got.body).NotTo(ContainSubstring("someone else's"))
	})
})

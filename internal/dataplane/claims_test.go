package dataplane_test

import (
	"context"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// scriptedClaims implements claimer.Claims and exchange.Claim with decisions that a test sets,
// and records the calls.
type scriptedClaims struct {
	mutex   sync.Mutex
	refusal error
	// validChecks is how many calls of Valid return true.
	validChecks int
	claimed     []string
	ended       []bool
}

func (c *scriptedClaims) Claim(_ context.Context, tenant, requestID string) (exchange.Claim, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.claimed = append(c.claimed, tenant+"/"+requestID)
	if c.refusal != nil {
		return nil, c.refusal
	}
	return c, nil
}

func (c *scriptedClaims) Valid() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.validChecks--
	return c.validChecks >= 0
}

func (c *scriptedClaims) End(mayHaveRun bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = append(c.ended, mayHaveRun)
}

var _ = Describe("A request that must not run twice", func() {
	requestID := header{"Request-Id", "r-1"}

	newNode := func(claims *scriptedClaims, script http.HandlerFunc) (*fixture, *fakeReplica) {
		backend := newReplica(script)
		f := newFixtureWith(func(options *dataplane.Options) { options.Claims = claims }, backend.address())
		return f, backend
	}

	It("is claimed before it is sent, and the claim ends with the request possibly run", func() {
		claims := &scriptedClaims{validChecks: 10}
		f, backend := newNode(claims, respondWith("ok"))
		Expect(f.generate(requestID).status).To(Equal(http.StatusOK))
		Expect(claims.claimed).To(Equal([]string{"court/r-1"}))
		Expect(backend.requests()).To(HaveLen(1))
		f.front.Close()
		Expect(claims.ended).To(Equal([]bool{true}))
	})

	It("has its claim released if it has certainly not run", func() {
		claims := &scriptedClaims{validChecks: 10}
		f, _ := newNode(claims, refusing())
		Expect(f.generate(requestID).problem.MayHaveRun).To(BeFalse())
		f.front.Close()
		Expect(claims.ended).To(Equal([]bool{false}))
	})

	It("counts as possibly run if its response was lost", func() {
		claims := &scriptedClaims{validChecks: 10}
		f, _ := newNode(claims, aborting())
		Expect(f.generate(requestID).problem.Kind).To(Equal(caller.KindOutcomeUnknown))
		f.front.Close()
		Expect(claims.ended).To(Equal([]bool{true}))
	})

	It("is refused when another node has claimed it", func() {
		f, backend := newNode(&scriptedClaims{refusal: claimer.ErrAlreadyClaimed}, respondWith("ok"))
		got := f.generate(requestID)
		Expect(got.status).To(Equal(http.StatusConflict))
		Expect(got.problem.Kind).To(Equal(caller.KindDuplicateRequest))
		Expect(got.problem.MayHaveRun).To(BeTrue())
		Expect(got.header).NotTo(HaveKey("Retry-After"))
		Expect(backend.requests()).To(BeEmpty())
	})

	It("is refused while the claim is undecided, and may be retried at the same node", func() {
		claims := &scriptedClaims{refusal: claimer.ErrClaimUndecided, validChecks: 10}
		f, backend := newNode(claims, respondWith("ok"))
		got := f.generate(requestID)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.Kind).To(Equal(caller.KindClaimUndecided))
		Expect(got.problem.MayHaveRun).To(BeTrue())
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		Expect(backend.requests()).To(BeEmpty())
		claims.refusal = nil
		Expect(f.generate(requestID).status).To(Equal(http.StatusOK))
	})

	It("is not sent once its claim is lost", func() {
		f, backend := newNode(&scriptedClaims{validChecks: 0}, respondWith("ok"))
		got := f.generate(requestID)
		Expect(got.problem.Kind).To(Equal(caller.KindClaimUndecided))
		Expect(got.problem.MayHaveRun).To(BeTrue())
		Expect(backend.requests()).To(BeEmpty())
	})

	DescribeTable("is retried only while its claim is valid", func(validChecks, sent int) {
		script := func(writer http.ResponseWriter, request *http.Request) {
			if request.Header.Get("Request-Id") == requestID.value {
				refusing()(writer, request)
				return
			}
			respondWith("ok")(writer, request)
		}
		f, first := newNode(&scriptedClaims{validChecks: validChecks}, script)
		second := newReplica(script)
		f.replicas = append(f.replicas, f.replicas[0])
		f.replicas[1].Address = second.address()
		f.publish()
		f.fillRetryBudget()
		before := len(first.requests()) + len(second.requests())
		got := f.generate(requestID)
		Expect(got.problem.MayHaveRun).To(Equal(sent == 1))
		Expect(len(first.requests()) + len(second.requests()) - before).To(Equal(sent))
	},
		Entry("which is lost after the first attempt", 1, 1),
		Entry("which stays valid", 10, 2),
	)

	It("needs no claim if it is repeatable or has no request ID from the caller", func() {
		claims := &scriptedClaims{refusal: claimer.ErrAlreadyClaimed}
		f, _ := newNode(claims, respondWith("ok"))
		Expect(f.generate(requestID, header{"Repeatable", "true"}).status).To(Equal(http.StatusOK))
		Expect(f.generate().status).To(Equal(http.StatusOK))
		Expect(claims.claimed).To(BeEmpty())
	})
})

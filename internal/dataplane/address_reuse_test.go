package dataplane_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// incarnationEdge is a dataplane.BackendEdge that knows the incarnation at each address, and
// refuses requests for any other incarnation.
type incarnationEdge struct {
	mutex sync.Mutex
	// instances holds the incarnation at each address.
	instances map[string]string
	// refusals counts the refused attempts.
	refusals int
}

// Send implements dataplane.BackendEdge.
func (o *incarnationEdge) Send(_ context.Context, attempt dataplane.Attempt) (dataplane.Response, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	instance := o.instances[attempt.Address]
	if attempt.Instance != instance {
		o.refusals++
		return nil, &outbound.RefusedError{Status: http.StatusMisdirectedRequest, WrongTarget: true, Instance: instance}
	}
	return completeResponse{}, nil
}

// completeResponse is a response without a body.
type completeResponse struct{}

func (completeResponse) Status() int                    { return http.StatusOK }
func (completeResponse) Header() http.Header            { return http.Header{} }
func (completeResponse) WeightVersion() string          { return weightsOne }
func (completeResponse) Streamed() bool                 { return false }
func (completeResponse) ReadAll() ([]byte, bool, error) { return nil, true, nil }
func (completeResponse) Next() ([]byte, error)          { return nil, io.EOF }
func (completeResponse) LastEventID() string            { return "" }
func (completeResponse) Close()                         {}

var _ = Describe("An address that was reassigned to another replica", func() {
	const reused, other = "replica-0:1", "replica-1:1"
	var edge *incarnationEdge

	BeforeEach(func() {
		edge = &incarnationEdge{instances: map[string]string{reused: "i-0", other: "i-1"}}
	})
	newNode := func() *fixture {
		f := newFixtureWith(func(options *dataplane.Options) {
			options.Edges.Replicas, options.Edges.WebServices = edge, edge
			options.RetryBudget.Slack = 1
		}, reused, other)
		for at := range f.replicas {
			f.replicas[at].Instance = edge.instances[f.replicas[at].Address]
		}
		f.publish()
		return f
	}
	// serve sends one request per second, each with a prompt that no replica has cached.
	serve := func(f *fixture, from time.Duration) {
		for turn := range 30 {
			f.clock.Store(int64(from + time.Duration(turn)*time.Second))
			got := f.generate(header{"Prefix", fmt.Sprintf("case-%d-%d;tokens=32", from, turn)})
			Expect(got.status).To(Equal(http.StatusOK))
		}
	}

	It("causes one refusal, until the view lists the new replica", func() {
		f := newNode()
		serve(f, 0)
		edge.instances[reused] = "i-2"
		serve(f, time.Minute)
		Expect(edge.refusals).To(Equal(1))

		By("sending to the replica that the view lists")
		f.replicas[0].Instance = "i-2"
		f.replicas[1].Admitting = false
		f.publish()
		serve(f, 2*time.Minute)
		Expect(edge.refusals).To(Equal(1))
	})

	It("causes one refusal for all nodes, since they inform each other", func() {
		first, second := newNode(), newNode()
		serve(first, 0)
		serve(second, 0)
		edge.instances[reused] = "i-2"
		serve(first, time.Minute)
		second.server.ApplyUpdate(first.server.TakeUpdate())
		serve(second, time.Minute)
		Expect(edge.refusals).To(Equal(1))
	})

	It("receives no further requests even if a web service has no other back end", func() {
		f := newNode()
		f.webBackends = f.replicas[:1]
		f.webBackends[0].WeightVersion = ""
		f.publish()
		edge.instances[reused] = "i-2"
		for range 5 {
			f.clock.Add(int64(time.Minute))
			Expect(f.send(http.MethodGet, webHost, "/").status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(edge.refusals).To(Equal(1))
	})

	It("does not receive a request that is being processed when the update arrives", func() {
		for read := int64(1); read <= 4; read++ {
			f := newNode()
			f.replicas[1].Admitting = false
			f.publish()
			edge.instances[reused] = "i-2"
			f.source.onView = func(call int64) {
				if call == read {
					f.server.ApplyUpdate(gossip.Update{GoneInstances: []gossip.GoneInstance{{Address: reused, Instance: "i-0"}}})
				}
			}
			Expect(f.generate().problem.MayHaveRun).To(BeFalse())
			Expect(edge.refusals).To(BeZero(), "denial applied after read %d of the view", read)
		}
	})
})

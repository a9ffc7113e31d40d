package dataplane_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// statusResponse is a complete response with a status.
type statusResponse struct {
	completeResponse
	status int
}

func (a statusResponse) Status() int { return a.status }

// faultInjectingEdge is a dataplane.BackendEdge that injects faults into some of the attempts
// on faulty back ends.
type faultInjectingEdge struct {
	// fault returns the result of a faulty attempt. On a faulty back end, one of faultEvery
	// attempts is faulty.
	fault      func(ctx context.Context) (dataplane.Response, error)
	faultEvery int
	mutex      sync.Mutex
	faulty     map[string]bool
	sent       map[string]int
}

// Send implements dataplane.BackendEdge.
func (b *faultInjectingEdge) Send(ctx context.Context, attempt dataplane.Attempt) (dataplane.Response, error) {
	b.mutex.Lock()
	b.sent[attempt.Address]++
	fails := b.faulty[attempt.Address] && (b.sent[attempt.Address]-1)%b.faultEvery == 0
	b.mutex.Unlock()
	if fails {
		return b.fault(ctx)
	}
	return completeResponse{}, nil
}

// setFaulty makes a back end faulty or healthy.
func (b *faultInjectingEdge) setFaulty(address string, faulty bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faulty[address] = faulty
}

// count returns how many attempts were sent to a back end.
func (b *faultInjectingEdge) count(address string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sent[address]
}

// The faults that a faultInjectingEdge injects.
var (
	failing = func(context.Context) (dataplane.Response, error) {
		return statusResponse{status: http.StatusInternalServerError}, nil
	}
	shedding = func(context.Context) (dataplane.Response, error) {
		return nil, &outbound.RefusedError{Status: http.StatusServiceUnavailable}
	}
	ambiguous = func(context.Context) (dataplane.Response, error) {
		return nil, &outbound.FailedResponseError{Status: http.StatusServiceUnavailable}
	}
	resetting = func(context.Context) (dataplane.Response, error) {
		return nil, &outbound.Error{MayHaveBeenSent: true}
	}
	invalidResponse = func(context.Context) (dataplane.Response, error) {
		return nil, &outbound.InvalidResponseError{Reason: "the answer was cut"}
	}
	hanging = func(ctx context.Context) (dataplane.Response, error) {
		<-ctx.Done()
		return nil, &outbound.Error{MayHaveBeenSent: true}
	}
	unreachable = func(context.Context) (dataplane.Response, error) {
		return nil, outbound.NotSent(errors.New("connection refused"))
	}
)

var _ = Describe("A back end that fails although it is listed as healthy", func() {
	const count = 6
	var edge *faultInjectingEdge

	address := func(number int) string { return fmt.Sprintf("backend-%d:1", number) }
	newEdge := func(fault func(context.Context) (dataplane.Response, error)) *faultInjectingEdge {
		return &faultInjectingEdge{fault: fault, faultEvery: 2, faulty: map[string]bool{}, sent: map[string]int{}}
	}
	// newPool starts a node with a pool whose back ends are reached through the edge.
	newPool := func(edge dataplane.BackendEdge, change func(*dataplane.Options)) *fixture {
		var addresses []string
		for number := range count {
			addresses = append(addresses, address(number))
		}
		f := newFixtureWith(func(options *dataplane.Options) {
			options.Edges.Replicas, options.Edges.WebServices = edge, edge
			options.RetryBudget.Slack = 1000
			change(options)
		}, addresses...)
		for at := range f.replicas {
			f.replicas[at].Slots = 64
		}
		f.publish()
		return f
	}
	unchanged := func(*dataplane.Options) {}
	// serve sends one request every 50 ms, each with a prompt that no replica has cached.
	turn := 0
	serve := func(f *fixture, requests int) (failed int) {
		for range requests {
			turn++
			f.clock.Add(int64(50 * time.Millisecond))
			got := f.generate(header{"Prefix", fmt.Sprintf("case-%d;tokens=32", turn)})
			if got.status != http.StatusOK {
				failed++
			}
		}
		return failed
	}

	DescribeTable("receives hardly any requests while every second one ends in", func(fault func(context.Context) (dataplane.Response, error)) {
		edge = newEdge(fault)
		f := newPool(edge, unchanged)
		serve(f, 60)
		edge.setFaulty(address(0), true)
		serve(f, 60)
		before := edge.count(address(0))
		failed := serve(f, 200)
		Expect(edge.count(address(0))-before).To(BeNumerically("<=", 8), "probes in ten seconds")
		Expect(failed).To(BeNumerically("<=", 4))
		Expect(f.server.Stats()[0].Ejected).To(Equal(1))

		By("sending it its share again after it has recovered")
		edge.setFaulty(address(0), false)
		serve(f, 400)
		before = edge.count(address(0))
		serve(f, 200)
		Expect(edge.count(address(0)) - before).To(BeNumerically(">", 15))
		Expect(f.server.Stats()[0].Ejected).To(BeZero())
	},
		Entry("a failure", failing),
		Entry("a refusal although slots are free", shedding),
		Entry("a failure that may be a refusal", ambiguous),
		Entry("a connection reset", resetting),
		Entry("an invalid response", invalidResponse),
		Entry("a refused connection", unreachable),
	)

	DescribeTable("is detected by overdue requests if it hangs", func(every, requests int) {
		edge = newEdge(hanging)
		f := newPool(edge, unchanged)
		f.targetLatencyMs = 100
		f.publish()
		serve(f, 60)
		f.clock.Add(int64(time.Minute))
		for at := 1; at < count; at++ {
			f.replicas[at].Admitting = false
		}
		f.publish()
		edge.setFaulty(address(0), true)
		edge.faultEvery = every
		edge.sent[address(0)] = 0
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for number := range requests {
			go f.generateUntil(ctx)
			Eventually(func() int { return edge.count(address(0)) }).WithTimeout(waitTimeout).Should(Equal(number + 1))
		}
		f.server.TakeUpdate()
		Expect(f.server.Stats()[0].Ejected).To(BeZero(), "the target latency has not passed")
		f.clock.Add(int64(2 * time.Second))
		f.server.TakeUpdate()
		Expect(f.server.Stats()[0].Ejected).To(Equal(1))
	},
		Entry("on every request", 1, 2),
		Entry("on every second request", 2, 3),
	)

	It("causes few failures when it fails every request", func() {
		edge = newEdge(failing)
		f := newPool(edge, unchanged)
		serve(f, 60)
		edge.faultEvery = 1
		edge.setFaulty(address(0), true)
		Expect(serve(f, 200)).To(BeNumerically("<=", 7), "two failures, and then those of probes")
	})

	DescribeTable("is not ejected for refusals", func(change func(f *fixture)) {
		edge = newEdge(shedding)
		f := newPool(edge, unchanged)
		change(f)
		f.publish()
		serve(f, 60)
		edge.faultEvery = 1
		edge.setFaulty(address(0), true)
		serve(f, 200)
		Expect(edge.count(address(0))).To(BeNumerically(">", 30))
		Expect(f.server.Stats()[0].Ejections).To(BeZero())
	},
		Entry("if its number of slots is not known", func(f *fixture) {
			for at := range f.replicas {
				f.replicas[at].Slots = 0
			}
		}),
		Entry("if its slots are in use", func(f *fixture) {
			for at := range f.replicas {
				f.replicas[at].Slots = 1
			}
		}),
		Entry("if it is in slow start", func(f *fixture) {
			for at := range f.replicas {
				f.replicas[at].SlowStartUntil = time.Hour
			}
		}),
		Entry("if it has to load other weights", func(f *fixture) { f.weightVersion = "weights-2" }),
	)

	It("receives fewer requests per failure when it fails and recovers repeatedly", func() {
		edge = newEdge(unreachable)
		f := newPool(edge, unchanged)
		serve(f, 60)
		cycle := func() int {
			before := edge.count(address(0))
			edge.setFaulty(address(0), true)
			serve(f, 40)
			edge.setFaulty(address(0), false)
			serve(f, 40)
			return edge.count(address(0)) - before
		}
		first := cycle()
		for range 3 {
			cycle()
		}
		Expect(cycle()).To(BeNumerically("<", first))
	})

	It("is still used when no other one admits", func() {
		edge = newEdge(failing)
		f := newPool(edge, unchanged)
		serve(f, 60)
		edge.setFaulty(address(0), true)
		serve(f, 60)
		Expect(f.server.Stats()[0].Ejected).To(Equal(1))
		for at := 1; at < count; at++ {
			f.replicas[at].Admitting = false
		}
		f.publish()
		Expect(serve(f, 20)).To(Equal(10))
	})

	It("is not probed by a retry", func() {
		edge = newEdge(shedding)
		f := newPool(edge, unchanged)
		serve(f, 60)
		for number := range count / 2 {
			edge.setFaulty(address(number), true)
		}
		serve(f, 400)
		Expect(f.server.Stats()[0].Ejected).To(Equal(count / 2))
		retries := f.server.Stats()[0].Retries
		probes := 0
		for number := range count / 2 {
			probes -= edge.count(address(number))
		}
		serve(f, 400)
		for number := range count / 2 {
			probes += edge.count(address(number))
		}
		Expect(f.server.Stats()[0].Retries - retries).To(BeNumerically("<=", probes))
		Expect(probes).To(BeNumerically("<=", 20))
	})

	Context("used by several nodes", func() {
		peers := []member.Info{{ID: "a-1", Zone: "a"}, {ID: "a-2", Zone: "a"}, {ID: "b-1", Zone: "b"}, {ID: "b-2", Zone: "b"}}
		// newFleet starts a node for each peer, each with its own edge.
		newFleet := func(fault func(context.Context) (dataplane.Response, error)) (nodes []*fixture, edges []*faultInjectingEdge) {
			for _, peer := range peers {
				edge := newEdge(fault)
				edges = append(edges, edge)
				nodes = append(nodes, newPool(edge, func(options *dataplane.Options) {
					options.Member, options.Zone = peer.ID, peer.Zone
					options.Peers = func() []member.Info { return peers }
				}))
			}
			return nodes, edges
		}
		share := func(nodes []*fixture) {
			for number, from := range nodes {
				update := from.server.TakeUpdate()
				update.Node = peers[number].ID
				for other, to := range nodes {
					if other != number {
						to.server.ApplyUpdate(update)
					}
				}
			}
		}
		ejected := func(f *fixture) int { return f.server.Stats()[0].Ejected }

		It("is ejected by nodes that have observed few of its failures themselves", func() {
			nodes, edges := newFleet(failing)
			for _, node := range nodes {
				serve(node, 12)
			}
			for _, edge := range edges {
				edge.setFaulty(address(0), true)
			}
			for range 10 {
				for _, node := range nodes[:2] {
					serve(node, 6)
				}
				share(nodes)
			}
			for _, node := range nodes[:2] {
				Expect(ejected(node)).To(Equal(1))
			}
		})

		It("is not ejected in the zone in which it is healthy", func() {
			nodes, edges := newFleet(failing)
			for _, edge := range edges[:2] {
				edge.setFaulty(address(0), true)
			}
			for range 60 {
				for _, node := range nodes {
					serve(node, 3)
				}
				share(nodes)
			}
			for _, node := range nodes[:2] {
				Expect(ejected(node)).To(Equal(1))
			}
			for _, node := range nodes[2:] {
				Expect(ejected(node)).To(BeZero())
			}
		})
	})

	It("of a web service is ejected by the same rules, and also for slowness", func() {
		edge = newEdge(failing)
		f := newPool(edge, unchanged)
		f.webBackends = append([]routing.Replica(nil), f.replicas...)
		f.publish()
		sendRequest := func(requests int) {
			for range requests {
				f.clock.Add(int64(50 * time.Millisecond))
				f.send(http.MethodGet, webHost, "/")
			}
		}
		sendRequest(60)
		edge.setFaulty(address(0), true)
		sendRequest(60)
		before := edge.count(address(0))
		sendRequest(100)
		Expect(edge.count(address(0)) - before).To(BeNumerically("<=", 4))

		By("ejecting a slow back end")
		edge.setFaulty(address(0), false)
		sendRequest(400)
		f.targetLatencyMs = 300
		f.publish()
		edge.mutex.Lock()
		edge.faultEvery = 1
		edge.fault = func(context.Context) (dataplane.Response, error) {
			f.clock.Add(int64(400 * time.Millisecond))
			return completeResponse{}, nil
		}
		edge.mutex.Unlock()
		edge.setFaulty(address(1), true)
		sendRequest(200)
		Expect(f.server.Stats()).To(ContainElement(And(HaveField("WebService", true), HaveField("Ejected", 1))))
	})

	It("has the attempts on it counted by outcome", func() {
		edge = newEdge(failing)
		f := newPool(edge, unchanged)
		edge.setFaulty(address(0), true)
		serve(f, 60)
		outcomes := map[string]uint64{}
		for _, outcome := range f.server.Stats()[0].Outcomes {
			outcomes[outcome.Name] = outcome.Count
		}
		Expect(outcomes).To(And(HaveKey("succeeded"), HaveKey("errored")))
	})
})

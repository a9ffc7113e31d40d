package operator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	edge "github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// reply is a canned response.
type reply struct {
	status int
	body   string
}

// node starts a server that returns the replies in turn, repeating the last one, and
// records the requests that it received.
func node(replies ...reply) (operator.Target, *[]string) {
	var lock sync.Mutex
	asked := &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lock.Lock()
		defer lock.Unlock()
		body, _ := io.ReadAll(r.Body)
		*asked = append(*asked, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, compact(string(body)))))
		next := replies[min(len(*asked), len(replies))-1]
		w.WriteHeader(next.status)
		_, _ = io.WriteString(w, next.body)
	}))
	DeferCleanup(server.Close)
	return operator.Target{Node: "node", ControlAddress: strings.TrimPrefix(server.URL, "http://")}, asked
}

// compact removes the spaces that protojson inserts at random.
func compact(body string) string { return strings.ReplaceAll(body, " ", "") }

func now() time.Duration { return time.Second }

func revoke() operator.Order {
	return operator.Order{Call: "RevokeKey", Request: &ridgeswitchv1.RevokeKeyRequest{
		Order: &ridgeswitchv1.OrderHeader{OrderId: "order-1"}, Tenant: "court", Key: "spare",
	}}
}

var _ = Describe("a submission", func() {
	It("uses the method and path that the schema defines", func() {
		target, asked := node(reply{200, `{"outcome":"ACKNOWLEDGED","revision":"7"}`})
		record := operator.NewRecorder(now).Submit(context.Background(), target, revoke())
		Expect(*asked).To(Equal([]string{
			`DELETE /v1/tenants/court/keys/spare {"order":{"orderId":"order-1"},"tenant":"court","key":"spare"}`,
		}))
		Expect(record.Outcome).To(Equal(checker.OutcomeAcknowledged))
		Expect(record.Revision).To(BeEquivalentTo(7))
	})

	DescribeTable("gets its outcome from the status and body of the response", func(answer reply, outcome checker.Outcome, kind string) {
		target, _ := node(answer)
		recorder := operator.NewRecorder(now)
		record := recorder.Submit(context.Background(), target, revoke())
		Expect(record.Outcome).To(Equal(outcome))
		Expect(record.ProblemKind).To(Equal(kind))
		Expect(recorder.Records()).To(Equal([]checker.Order{record}))
	},
		Entry("pending", reply{202, `{"outcome":"PENDING"}`}, checker.OutcomePending, ""),
		Entry("refused", reply{409, `{"kind":"base_revision_stale"}`}, checker.OutcomeRefused, "base_revision_stale"),
		Entry("unavailable", reply{503, `{"kind":"no_leader"}`}, checker.OutcomeUnavailable, "no_leader"),
		Entry("internal error without a problem", reply{500, `oops`}, checker.OutcomeLost, "untyped"),
		Entry("undecodable body", reply{200, `{`}, checker.OutcomeLost, ""),
	)

	It("is resent to the nodes in turn until one acknowledges it", func() {
		first, asked := node(reply{503, `{"kind":"no_leader"}`}, reply{202, `{"outcome":"PENDING"}`})
		second, _ := node(reply{202, `{"outcome":"PENDING"}`}, reply{200, `{"outcome":"ACKNOWLEDGED","revision":"3"}`})
		recorder := operator.NewRecorder(now)
		record, err := recorder.SubmitUntilDecided(context.Background(), []operator.Target{first, second}, revoke())
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(BeEquivalentTo(3))
		Expect(*asked).To(HaveLen(2))
		Expect((*asked)[0]).To(Equal((*asked)[1]))
		Expect(recorder.Records()).To(HaveLen(4))
	})

	It("returns UndecidedError when the context ends first", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		target, _ := node(reply{202, `{}`})
		_, err := operator.NewRecorder(now).SubmitUntilDecided(ctx, []operator.Target{target}, revoke())
		Expect(err).To(BeAssignableToTypeOf(&operator.UndecidedError{}))
	})
})

// state is the control state that the nodes share: the replicated state machine of
// pkg/config/dynamic, with every change confirmed immediately.
type state struct {
	lock    sync.Mutex
	machine *dynamic.Machine
}

func (s *state) Submit(_ context.Context, order *controlpb.Order) (*controlpb.Answer, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	answer := proto.CloneOf(s.machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}}))
	answer.Confirmed = true
	return answer, nil
}

func (s *state) Source(context.Context) (*ridgeswitchv1.Source, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.machine.Source(), nil
}

func (s *state) Configuration() *ridgeswitchv1.Configuration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.machine.Configuration()
}

func (s *state) ReadConfiguration(context.Context) (*ridgeswitchv1.Configuration, error) {
	return s.Configuration(), nil
}

func (s *state) Weights(string) (*ridgeswitchv1.WeightsStatus, error) {
	return &ridgeswitchv1.WeightsStatus{}, nil
}
func (s *state) Status() *ridgeswitchv1.NodeStatus { return &ridgeswitchv1.NodeStatus{} }
func (s *state) Ready() error                      { return nil }
func (s *state) Live() error                       { return nil }

// machines records the calls that a scenario makes to it, and does nothing else.
type machines struct {
	targets []operator.Target
	done    []string
}

func (m *machines) KillNode(name string) error { m.done = append(m.done, "kill "+name); return nil }
func (m *machines) RestartNode(name string) error {
	m.done = append(m.done, "restart "+name)
	return nil
}

func (m *machines) DrainReplica(_ context.Context, address string) error {
	m.done = append(m.done, "drain "+address)
	return nil
}

func (m *machines) DisturbReplicas(_ context.Context, addresses []string, disturbed bool) error {
	m.done = append(m.done, fmt.Sprintf("disturb %s %v", strings.Join(addresses, " "), disturbed))
	return nil
}
func (m *machines) LiveTargets() []operator.Target { return m.targets }

var _ = Describe("a scenario", func() {
	It("completes every step against the control interface of nodes", func() {
		shared := &state{machine: dynamic.NewMachine(nil)}
		involved := &machines{}
		for number := range 2 {
			handler, err := edge.NewHandler(shared, shared)
			Expect(err).NotTo(HaveOccurred())
			listening := httptest.NewServer(handler)
			DeferCleanup(listening.Close)
			address := strings.TrimPrefix(listening.URL, "http://")
			involved.targets = append(involved.targets, operator.Target{Node: fmt.Sprint(number), ControlAddress: address})
		}
		recorder := operator.NewRecorder(now)
		tenant := func(name string) *ridgeswitchv1.Tenant {
			return &ridgeswitchv1.Tenant{
				Name: name, Limits: &ridgeswitchv1.Limits{
					RequestsPerSecond: 1, Burst: 1,
					ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 1,
				},
				Keys: []*ridgeswitchv1.Key{{Name: "spare", Sha256: dynamic.KeyDigest(name)}},
			}
		}
		first := operator.ApplyOrder("first", 0, &ridgeswitchv1.Configuration{
			Tenants: []*ridgeswitchv1.Tenant{tenant("a"), tenant("b")},
			Pools:   []*ridgeswitchv1.Pool{{Name: "pool", Model: "model", Service: "service", WeightVersion: "v1", RequestTimeoutMs: 1000}},
			Routes:  []*ridgeswitchv1.Route{{Host: "pool.example", Destination: &ridgeswitchv1.Route_Pool{Pool: "pool"}}},
		})
		record, err := recorder.SubmitUntilDecided(context.Background(), involved.targets, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Outcome).To(Equal(checker.OutcomeAcknowledged), record.ProblemKind)
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		scenario := &operator.Scenario{
			Recorder: recorder, Machines: involved, Log: logrus.NewEntry(log),
			Plan: operator.Plan{
				Run: "run", Pool: "pool", FirstWeights: "v2", LastWeights: "v3", EvacuatedZone: "north",
				DrainedReplica: "replica", DisturbedReplicas: []string{"one", "two"}, KilledFront: "front", KilledCore: "core", KeyTenant: "a", AddedKey: "added",
				AddedDigest: dynamic.KeyDigest("added"), RevokedTenant: "b", RevokedKey: "spare", WalledTenant: "a",
			},
		}
		scenario.Run(context.Background())
		Expect(scenario.Failures()).To(BeEmpty())
		Expect(involved.done).To(Equal([]string{
			"drain replica", "disturb one two true",
			"kill front", "kill core", "disturb one two false", "restart front", "restart core",
		}))
		Expect(checker.Check(&checker.Records{Orders: recorder.Records()})).To(BeEmpty())
		outcomes := lo.CountValuesBy(recorder.Records(), func(one checker.Order) checker.Outcome { return one.Outcome })
		Expect(outcomes[checker.OutcomeRefused]).To(Equal(4), "three invalid configurations and one of the two conflicting orders")
		Expect(shared.machine.Configuration().GetPools()[0].GetWeightVersion()).To(Equal("v3"))
		Expect(shared.machine.Configuration().GetEvacuations()).To(BeEmpty())
	})
})

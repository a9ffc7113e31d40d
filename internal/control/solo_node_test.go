package control

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const poolSize = 6

// idleTraffic is a routing.LoadReader that reports no running requests.
type idleTraffic struct{}

func (idleTraffic) InFlight(string) int { return 0 }

// soloNode runs the only node of a deployment in virtual time. Its writes are durable
// immediately.
type soloNode struct {
	machine *Machine
	now     time.Duration
	ticket  uint64
	answers map[uint64]*controlpb.Answer
	// commands are all commands to replicas since the start.
	commands []Command
	// sends are the messages to other nodes since the start, or since a test emptied it.
	sends []sentAt
}

// sentAt is a message with the time at which it was sent.
type sentAt struct {
	at   time.Duration
	send Send
}

func newSoloNode() *soloNode {
	return newSoloNodeWith(func(*Config) {})
}

func newSoloNodeWith(change func(*Config)) *soloNode {
	config := Config{
		Self:          member.Info{ID: "a", Address: "127.0.0.1:1", Zone: "z1", HoldsState: true, Incarnation: 1},
		Group:         []member.ID{"a"},
		ServiceShards: 1,
		Times:         DefaultTimes(),
	}
	change(&config)
	machine, err := New(config, map[uint32]replication.Restored{}, idleTraffic{}, 0)
	Expect(err).NotTo(HaveOccurred())
	return &soloNode{machine: machine, answers: map[uint64]*controlpb.Answer{}}
}

func (n *soloNode) perform(output Output) {
	for _, reply := range output.Replies {
		n.answers[reply.Ticket] = reply.Answer
	}
	n.commands = append(n.commands, output.Commands...)
	for _, send := range output.Sends {
		n.sends = append(n.sends, sentAt{at: n.now, send: send})
	}
	for _, save := range output.Writes {
		n.perform(n.machine.StorageWritten(n.now, save.Shard))
	}
}

func (n *soloNode) run(duration time.Duration) {
	for end := n.now + duration; n.now < end; n.now += DefaultTickEvery {
		n.perform(n.machine.Tick(n.now))
	}
}

func (n *soloNode) submit(order *controlpb.Order) *controlpb.Answer {
	n.ticket++
	n.perform(n.machine.Submit(n.now, n.ticket, order))
	n.run(2 * time.Second)
	return n.answers[n.ticket]
}

// readEndpoints has the node read an endpoint list with one service.
func (n *soloNode) readEndpoints(replicas []Endpoint) {
	reading := EndpointReading{StartedAt: n.now, Services: []ServiceEndpoints{{Name: "s", Endpoints: replicas}}}
	n.perform(n.machine.EndpointsRead(n.now, reading))
}

func (n *soloNode) report(version string) {
	for _, replica := range poolReplicas() {
		n.perform(n.machine.SetReplicaReport(n.now, ReplicaReport{
			Address: replica.Address, Incarnation: 1, WeightVersion: version, MeasuredAt: n.now,
		}))
	}
}

// forgetRollouts replaces the roll-out machine of the node, so that the node resembles a new
// leader that has no reports and no record of earlier roll-outs.
func (n *soloNode) forgetRollouts() {
	*n.machine.rollout = *newRollout(n.machine.config, n.now)
}

// phases counts the pool's replicas by phase.
func (n *soloNode) phases() map[string]int {
	return lo.CountValuesBy(n.machine.Weights("pool").GetReplicas(), func(replica *ridgeswitchv1.ReplicaStatus) string {
		return replica.GetPhase()
	})
}

func poolReplicas() []Endpoint {
	return lo.Times(poolSize, func(number int) Endpoint {
		return Endpoint{Address: fmt.Sprintf("127.0.2.%d:1", number+1), Zone: "z1"}
	})
}

func poolConfiguration() *controlpb.Order { return poolConfigurationWith("v1") }

func poolConfigurationWith(version string) *controlpb.Order {
	configuration := &ridgeswitchv1.Configuration{
		Pools: []*ridgeswitchv1.Pool{{Name: "pool", Model: "m", Service: "s", WeightVersion: version, RequestTimeoutMs: 1000}},
	}
	return &controlpb.Order{OrderId: "first", Digest: []byte("first"), Change: &controlpb.Order_Apply{Apply: configuration}}
}

func weightsOrder(version string) *controlpb.Order {
	named := &controlpb.NameWeights{Pool: "pool", WeightVersion: version}
	return &controlpb.Order{OrderId: version, Digest: []byte(version), Change: &controlpb.Order_NameWeights{NameWeights: named}}
}

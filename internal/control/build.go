package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// New returns the control machine of a node. Restored holds the durable state of each shard
// that was read from the node's disk. The node hosts all shards in whose groups it is, also
// those that have no entry in restored.
func New(config Config, restored map[uint32]replication.Restored, load routing.LoadReader, now time.Duration) (*Machine, error) {
	machine := &Machine{config: config, clock: &clock{now: now}}
	machine.members = newMemberTable(config, now)
	machine.outbox = &outbox{self: config.Self.ID, members: machine.members, receive: machine.receiveControl}
	machine.views = newViewRefresher(config)
	machine.rollout = newRollout(config, now)
	machine.endpoints = newLocalEndpoints(config, machine.outbox, machine.rollout, machine.views, now)

	machine.confirmations = confirmation.NewTable(confirmation.TableConfig{
		RequestEvery: config.Times.ConfirmEvery,
		FailOpen:     config.FailOpen,
	}, machine.members, machine.outbox)
	machine.shards = &hostedShards{
		config:        config,
		clock:         machine.clock,
		members:       machine.members,
		confirmations: machine.confirmations,
		ids:           config.shardIDs(),
		byID:          map[uint32]*shards.Shard{},
	}
	machine.leaders = leaders.NewDirectory(machine.shards)
	machine.states = newStateRelay(config, machine.outbox, machine.leaders, machine.views)
	machine.disseminator = confirmation.NewDisseminator(
		config.Self.ID, machine.members, machine.confirmations, machine.states.sendDirectly)
	machine.connectLeaders(load)

	machine.host = &shardHost{
		clock:          machine.clock,
		outbox:         machine.outbox,
		shards:         machine.shards,
		states:         machine.states,
		confirmations:  machine.confirmations,
		registrar:      machine.registrar,
		leaderRequests: machine.leaderRequests,
		rollout:        machine.rollout,
	}
	if err := machine.shards.start(machine.host, restored); err != nil {
		return nil, err
	}
	return machine, nil
}

// connectLeaders creates the machines through which this node exchanges messages with the
// leaders of shards, or acts as a leader itself.
func (m *Machine) connectLeaders(load routing.LoadReader) {
	config, times := m.config, m.config.Times
	// All requests of this node draw their numbers from one sequence.
	numbers := protocol.NewNumbering(config.Self.Incarnation)
	m.requests = requests.NewClient(requests.ClientConfig{
		Timeout:    times.RequestTimeout,
		RetryEvery: times.RetryEvery,
	}, m.outbox, numbers, m.leaders)
	m.leaderRequests = requests.NewLeader(requests.LeaderConfig{
		AcknowledgeTimeout:          times.AcknowledgeTimeout,
		RequestTimeout:              times.RequestTimeout,
		AcknowledgeUnconfirmedAfter: config.acknowledgeUnconfirmedAfter(),
		MaxCommandBytes:             config.limits().Command,
	}, m.outbox, m.leaders)
	m.recovery = recovery.New(recovery.Config{
		Self:          config.Self.ID,
		RetryEvery:    times.RetryEvery,
		RegisterNodes: !config.FailOpen,
	}, m.members, m.outbox, numbers, m.states.received, m.states.sections)
	m.registration = &localRegistration{
		failOpen: config.FailOpen,
		members:  m.members,
		outbox:   m.outbox,
		recovery: m.recovery,
		views:    m.views,
		client:   registration.NewClient(m.shards.ids, times.RetryEvery, m.outbox, numbers, m.leaders, m.states.received),
	}
	m.registrar = registration.NewRegistrar(config.Self.ID, times.RetryEvery, m.outbox, numbers, m.leaders)
	m.localConfirmations = &localConfirmations{
		config:   config,
		members:  m.members,
		shards:   m.shards,
		leaders:  m.leaders,
		outbox:   m.outbox,
		recovery: m.recovery,
		received: m.states.received,
		load:     load,
		local:    confirmation.NewLocal(m.shards.ids, confirmRepeatPeriods*times.ConfirmEvery),
	}
}

// newRollout returns the machine that rolls out weights in the shards that a node hosts.
func newRollout(config Config, now time.Duration) *rollout.Machine {
	return rollout.New(rollout.Config{
		Self:                config.Self.ID,
		ReplicasFinishFirst: config.ReplicasFinishFirst,
		LeaseDuration:       config.Times.LeaseDuration,
		LeaseMargin:         config.Times.LeaseMargin,
		CommandGap:          config.Times.CommandGap,
		WeightsDeadline:     config.Times.WeightsDeadline,
	}, config.hostedIDs(), now)
}

// acknowledgeUnconfirmedAfter returns how long a committed change waits for confirmations
// before it is acknowledged without them; 0 means that it never is.
func (c Config) acknowledgeUnconfirmedAfter() time.Duration {
	if c.FailOpen {
		return failOpenConfirmationTimeout
	}
	return 0
}

package sim

import (
	"time"

	"github.com/samber/lo"
)

// leaveGrace is how long a process that is shut down gracefully goes on.
const leaveGrace = 200 * time.Millisecond

// machineFaults stop, restart and suspend processes, and set clocks wrong.
type machineFaults struct {
	env      *environment
	machines *machines
	groups   *shardGroups
	orders   faultOrders
	backends *backendCalls
	network  *networkFaults
}

// crash stops a node and starts it again.
func (f *machineFaults) crash() {
	pick(f.env.randomness, f.machines.nodes).restartAfter(f.env.faultDuration(100*time.Millisecond, 4*time.Second))
}

// crashMany stops random nodes at one instant, with a probability of one half all
// core nodes among them, as when the power fails.
func (f *machineFaults) crashMany() {
	victims := f.machines.randomNodes()
	if f.env.chance(0.5) {
		victims = append(victims, f.machines.withDisks()...)
	}
	for _, one := range lo.Uniq(victims) {
		one.restartAfter(f.env.faultDuration(100*time.Millisecond, 3*time.Second))
	}
}

// killAll ends all processes as soon as an order is acknowledged. They are back at once,
// but for one node with a disk, which comes later.
func (f *machineFaults) killAll() {
	const down = 100 * time.Millisecond
	kill := func() {
		last := pick(f.env.randomness, f.machines.withDisks())
		for _, one := range f.machines.nodes {
			if one != last {
				one.restartAfter(f.env.upTo(down))
			}
		}
		last.restartAfter(down + f.env.faultDuration(200*time.Millisecond, 2*time.Second))
	}
	order := f.orders.addKey(0)
	f.orders.issue(order)
	f.orders.whenAcknowledged(order, kill, kill)
}

// rollingRestart shuts the nodes down gracefully and starts them again, one after
// the other.
func (f *machineFaults) rollingRestart() {
	const between = 600 * time.Millisecond
	for position, one := range f.machines.nodes {
		start := time.Duration(position) * between
		if f.env.now+start+between > f.env.settings.recoveryPhaseStart() {
			return
		}
		f.env.after(start, func() {
			if one.removed || !one.up {
				return
			}
			one.post(one.process, one.machine.Leave)
			f.env.after(leaveGrace, func() { one.restartAfter(f.env.faultDuration(50*time.Millisecond, 300*time.Millisecond)) })
		})
	}
}

// freeze suspends a process for long without ending it.
func (f *machineFaults) freeze() {
	pick(f.env.randomness, f.machines.nodes).freeze(f.env.faultDuration(3*time.Second, 17*time.Second))
}

// freezeLeader suspends a leader during a roll-out.
func (f *machineFaults) freezeLeader() {
	if leader := f.groups.anyLeader(); leader != nil {
		f.orders.issue(f.orders.nameWeights(0, pick(f.env.randomness, poolNames)))
		f.env.after(f.env.upTo(2*time.Second), func() {
			leader.freeze(f.env.faultDuration(3*time.Second, 9*time.Second))
		})
	}
}

// freezeAtCommand suspends a leader between its decision to command a replica and
// the sending of the command.
func (f *machineFaults) freezeAtCommand() {
	f.backends.freezeNextSender = true
	f.orders.issue(f.orders.nameWeights(0, pick(f.env.randomness, poolNames)))
}

// moveLeadership has the leaders of a roll-out hand it over again and again, as after
// hiccups that nobody outside notices: no disturbance is recorded.
func (f *machineFaults) moveLeadership() {
	const moves, period = 5, 3 * time.Second
	pool := pick(f.env.randomness, poolNames)
	f.orders.issue(f.orders.nameWeights(0, pool))
	for move := range moves {
		f.env.after(time.Duration(move)*period, func() {
			if leader := f.groups.leaderOf(pool); leader != nil && !f.env.inRecoveryPhase() {
				leader.post(leader.process, leader.machine.TransferLeadership)
			}
		})
	}
}

// jumpClock moves a node's wall clock and restarts the node.
func (f *machineFaults) jumpClock() {
	const furthest = 2 * time.Hour
	victim := pick(f.env.randomness, f.machines.nodes)
	victim.clock.wallOffset = f.env.upTo(2*furthest) - furthest
	victim.restartAfter(f.env.faultDuration(50*time.Millisecond, time.Second))
}

// loseRelayParent stops, suspends or isolates a node just before an order, so
// that its children in the relay tree have to get the new state elsewhere.
func (f *machineFaults) loseRelayParent() {
	victim := pick(f.env.randomness, f.machines.nodes)
	switch f.env.random.IntN(3) {
	case 0:
		victim.restartAfter(f.env.faultDuration(2*time.Second, 3*time.Second))
	case 1:
		victim.freeze(f.env.faultDuration(2*time.Second, 3*time.Second))
	default:
		f.network.partitionFor([]*node{victim}, f.machines.nodes, true)
	}
	f.env.after(f.env.upTo(200*time.Millisecond), func() { f.orders.issue(f.orders.addKey(0)) })
}

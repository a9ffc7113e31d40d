package sim

import (
	"time"

	"github.com/samber/lo"
)

// networkFaults partition the network, and lose, duplicate and delay frames.
type networkFaults struct {
	env      *environment
	machines *machines
	network  *network
}

// messageStorm loses, duplicates and delays frames.
func (f *networkFaults) messageStorm() {
	active := &storm{
		loss:      0.3 * f.env.random.Float64(),
		duplicate: 0.3 * f.env.random.Float64(),
		delay:     f.env.upTo(400 * time.Millisecond),
	}
	f.network.storms = append(f.network.storms, active)
	f.env.after(f.env.faultDuration(time.Second, 6*time.Second), func() {
		f.network.storms = lo.Without(f.network.storms, active)
	})
}

// partition separates random nodes from all others, both ways or only what they
// send.
func (f *networkFaults) partition(both bool) {
	side := f.machines.randomNodes()
	f.partitionFor(side, f.machines.without(side...), both)
}

func (f *networkFaults) isolateZone() {
	zone := pick(f.env.randomness, f.machines.nodes).info.Zone
	inside := lo.Filter(f.machines.nodes, func(one *node, _ int) bool { return one.info.Zone == zone })
	f.partitionFor(inside, f.machines.without(inside...), true)
}

func (f *networkFaults) isolateNode() {
	victim := []*node{pick(f.env.randomness, f.machines.nodes)}
	f.partitionFor(victim, f.machines.nodes, f.env.chance(0.5))
}

// partitionFor blocks the links from one side to the other, and back if both is
// set, for a random time.
func (f *networkFaults) partitionFor(from, to []*node, both bool) {
	f.block(from, to, both, f.env.faultDuration(300*time.Millisecond, 8*time.Second))
}

// isolateFor separates a node from all others for a given time.
func (f *networkFaults) isolateFor(victim *node, length time.Duration) {
	f.block([]*node{victim}, f.machines.nodes, true, length)
}

// block blocks the links from one side to the other, and back if both is set.
func (f *networkFaults) block(from, to []*node, both bool, length time.Duration) {
	f.network.changeBlocked(from, to, 1)
	if both {
		f.network.changeBlocked(to, from, 1)
	}
	f.env.after(length, func() {
		f.network.changeBlocked(from, to, -1)
		if both {
			f.network.changeBlocked(to, from, -1)
		}
	})
}

package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxSeeds is the number of seeds in the settings of a node.
	maxSeeds = 3
	// maxReplacements bounds the machines that a run adds.
	maxReplacements = 12
	// seedLag is how long the seeds in the settings lag behind the machines.
	seedLag = 3 * time.Second
	// deadSeed is an address at which no node listens.
	deadSeed = "gone:7100"
)

// machines are the machines of the deployment, and what is configured about them:
// the members of the replica groups, and the seeds.
type machines struct {
	env          *environment
	connectivity *connectivity
	// surroundings are given to each node.
	surroundings *surroundings

	// nodes are the present machines; all includes those that were removed, by
	// their index.
	nodes     []*node
	all       []*node
	byAddress map[string]*node
	// initial is the number of machines at the start of the run.
	initial int
	// group and groupZones name the core nodes, in a deployment with a configured
	// group.
	group      []member.ID
	groupZones map[member.ID]string
	// seeds are the seeds in the settings at present, in a deployment whose nodes
	// find each other through seeds.
	seeds []string
}

func newMachines(env *environment) *machines {
	return &machines{env: env, byAddress: map[string]*node{}, groupZones: map[member.ID]string{}}
}

// create makes a machine with an empty disk, or without one.
func (m *machines) create(hasDisk bool, zone string) *node {
	index := len(m.all)
	name := fmt.Sprintf("r%d", index)
	if hasDisk {
		name = fmt.Sprintf("d%d", index)
	}
	one := newNode(m.surroundings, index, member.Info{
		ID:         member.ID(name),
		Address:    name + ":7100",
		Zone:       zone,
		HoldsState: hasDisk,
	})
	if hasDisk {
		m.group = append(m.group, member.ID(name))
		m.groupZones[member.ID(name)] = zone
	}
	m.nodes = append(m.nodes, one)
	m.all = append(m.all, one)
	m.byAddress[one.info.Address] = one
	return one
}

// capacity is the number of machines that a run may have, removed ones included.
func (m *machines) capacity() int { return m.initial + maxReplacements }

// add adds a new machine with an empty disk. It returns nil if the run has added
// maxReplacements already.
func (m *machines) add(zone string) *node {
	if len(m.all) >= m.capacity() {
		return nil
	}
	added := m.create(true, zone)
	added.storage.incarnation = m.env.newDiskIncarnation()
	added.logf("added")
	return added
}

// addedDuringRun reports whether a machine was added during the run.
func (m *machines) addedDuringRun(id member.ID) bool {
	return lo.ContainsBy(m.all[m.initial:], func(one *node) bool { return one.info.ID == id })
}

// remove removes a machine for good.
func (m *machines) remove(victim *node) {
	victim.stop()
	victim.removed = true
	victim.logf("gone")
	m.nodes = lo.Without(m.nodes, victim)
	delete(m.byAddress, victim.info.Address)
	m.connectivity.recordDisturbance(victim)
	m.env.after(seedLag, m.updateSeeds)
}

// move gives a node another address. Seeds that name the old one are then dead.
func (m *machines) move(victim *node) {
	delete(m.byAddress, victim.info.Address)
	victim.info.Address = string(victim.info.ID) + ":7101"
	m.byAddress[victim.info.Address] = victim
}

// listeningAt returns the node that listens at an address, or nil.
func (m *machines) listeningAt(address string) *node { return m.byAddress[address] }

// named returns the node of an ID, which may have been removed.
func (m *machines) named(id member.ID) *node {
	position := slices.IndexFunc(m.all, func(one *node) bool { return one.info.ID == id })
	return m.all[position]
}

// withDisks returns the nodes with disks, which form the core.
func (m *machines) withDisks() []*node {
	return lo.Filter(m.nodes, func(one *node, _ int) bool { return one.storage != nil })
}

// without returns the nodes other than the given ones.
func (m *machines) without(excluded ...*node) []*node { return lo.Without(m.nodes, excluded...) }

// randomNodes returns a random number of nodes, at least one.
func (m *machines) randomNodes() []*node {
	order := m.env.random.Perm(len(m.nodes))
	count := 1 + m.env.random.IntN(len(m.nodes))
	return lo.Map(order[:count], func(position, _ int) *node { return m.nodes[position] })
}

// chooseSeeds returns the addresses of up to three other core nodes.
func (m *machines) chooseSeeds(one *node, random *rand.Rand) []string {
	if m.env.settings.FailOpen {
		return m.seeds
	}
	var seeds []string
	for _, position := range random.Perm(len(m.group)) {
		if seed := m.nodes[position]; seed != one && len(seeds) < maxSeeds {
			seeds = append(seeds, seed.info.Address)
		}
	}
	return seeds
}

// chooseFounders chooses the seeds, and founds the replica groups with the nodes
// there.
func (m *machines) chooseFounders() {
	disks := m.withDisks()
	for _, one := range disks[:min(maxSeeds, len(disks))] {
		m.seeds = append(m.seeds, one.info.Address)
	}
	founders := lo.Map(slices.Sorted(slices.Values(m.seeds)), func(seed string, _ int) member.ID { return member.ID(seed) })
	for _, one := range disks {
		if slices.Contains(m.seeds, one.info.Address) {
			one.storage.founders = founders
			continue
		}
		one.storage.incarnation = m.env.newDiskIncarnation() + uint64(one.index)
	}
}

// updateSeeds replaces the seeds in the settings whose machines are gone. Some
// running nodes reload them.
func (m *machines) updateSeeds() {
	disks := lo.Map(m.withDisks(), func(one *node, _ int) string { return one.info.Address })
	m.seeds = lo.Intersect(m.seeds, disks)
	for _, address := range disks {
		if len(m.seeds) < maxSeeds && !slices.Contains(m.seeds, address) {
			m.seeds = append(m.seeds, address)
		}
	}
	m.distributeSeeds()
}

func (m *machines) distributeSeeds() {
	seeds := slices.Clone(m.seeds)
	for _, one := range m.nodes {
		if m.env.chance(0.5) {
			one.seeds = seeds
			one.post(one.process, func(now time.Duration) control.Output { return one.machine.SetSeeds(now, seeds) })
		}
	}
}

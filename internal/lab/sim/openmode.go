package sim

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Deployments whose nodes with disks find each other through three seeds, and
// whose nodes go on serving while they are cut off.

const (
	// openContact is how long a node that fell silent counts as in contact.
	openContact = 3 * time.Second
	// openAcknowledge bounds the wait for an acknowledgement.
	openAcknowledge = 4 * time.Second
	// slowHeartbeat and slowTick are those of nodes that save work while idle.
	slowHeartbeat = 250 * time.Millisecond
	slowTick      = 50 * time.Millisecond
	// RecoveryBound is how long a deployment may take to serve again after all its
	// nodes went down at once.
	RecoveryBound = 12 * time.Second
	// voteBound is how long a new machine may take to get a vote.
	voteBound = 4 * time.Second
	// maxReplacements bounds the machines that a run adds.
	maxReplacements = 12
)

// openMode names the node by its address.
func (n *node) openMode() {
	n.info.ID = member.ID(n.info.Address)
	if n.world.settings.Seed%2 == 0 {
		n.tickEvery = slowTick
	}
}

// nameFounders chooses the seeds, and founds the groups with the nodes there.
func (w *simulation) nameFounders() {
	disks := w.diskNodes()
	for _, one := range disks[:min(maxSeeds, len(disks))] {
		w.seeds = append(w.seeds, one.info.Address)
	}
	founders := lo.Map(slices.Sorted(slices.Values(w.seeds)), func(seed string, _ int) member.ID { return member.ID(seed) })
	for _, one := range disks {
		if slices.Contains(w.seeds, one.info.Address) {
			one.storage.founders = founders
			continue
		}
		one.storage.incarnation = w.newDiskIncarnation() + uint64(one.index)
	}
}

// openConfig completes what a control machine knows when it starts.
func (n *node) openConfig(config *control.Config) {
	config.Seeded = true
	config.FailOpen = true
	config.Group = nil
	config.GroupZones = nil
	config.Times = control.FailOpenTimes(openContact, openAcknowledge)
	if n.tickEvery == slowTick {
		config.Times.HeartbeatEvery = slowHeartbeat
	}
	if n.storage != nil {
		config.Group = n.storage.founders
		config.Seeds = lo.Uniq(slices.Concat(n.seeds, n.storage.addresses))
	}
}

// keepAddresses is what a data folder remembers of other nodes with disks.
func (n *node) keepAddresses() {
	if n.storage == nil || !n.world.settings.FailOpen {
		return
	}
	if known := n.machine.CoreNodeAddresses(); len(known) > 0 {
		n.storage.addresses = known
	}
}

// addMachine adds a new machine with an empty disk, or none if there were many
// already.
func (w *simulation) addMachine(zone string) *node {
	if len(w.all) >= len(w.network.blocked) {
		return nil
	}
	w.addNode(len(w.all), true, zone)
	added := w.nodes[len(w.nodes)-1]
	added.storage.incarnation = w.newDiskIncarnation()
	added.note("added")
	return added
}

// cameLater tells whether a machine was added during the run.
func (w *simulation) cameLater(id member.ID) bool {
	first := len(w.network.blocked) - maxReplacements
	return lo.ContainsBy(w.all[first:], func(one *node) bool { return one.info.ID == id })
}

// removeMachine takes a machine away for good.
func (w *simulation) removeMachine(victim *node) {
	victim.stop()
	victim.gone = true
	victim.note("gone")
	w.nodes = lo.Without(w.nodes, victim)
	delete(w.byAddress, victim.info.Address)
	w.disturbed(victim)
	w.after(seedLag, w.renewSeeds)
}

// seedLag is how long the seeds in settings lag behind.
const seedLag = 3 * time.Second

// renewSeeds replaces the seeds that are gone in the settings. Nodes that run
// read them anew at times.
func (w *simulation) renewSeeds() {
	disks := lo.Map(w.diskNodes(), func(one *node, _ int) string { return one.info.Address })
	w.seeds = lo.Intersect(w.seeds, disks)
	for _, address := range disks {
		if len(w.seeds) < maxSeeds && !slices.Contains(w.seeds, address) {
			w.seeds = append(w.seeds, address)
		}
	}
	w.spreadSeeds()
}

func (w *simulation) spreadSeeds() {
	seeds := slices.Clone(w.seeds)
	for _, one := range w.nodes {
		if w.chance(0.5) {
			one.seeds = seeds
			one.post(one.life, func(now time.Duration) control.Output { return one.machine.SetSeeds(now, seeds) })
		}
	}
}

// exchangeable are the machines with disks that are to stay, and without which a
// majority of the voters of every shard stays sound.
func (w *simulation) exchangeable() []*node {
	return lo.Filter(w.diskNodes(), func(one *node, _ int) bool { return !one.leaving && w.mayLose(one) })
}

// replaceOrWipe takes a machine away and adds another one, or takes its disk
// alone.
func (w *simulation) replaceOrWipe(victim *node) {
	if w.chance(0.5) {
		w.replaceMachineAt(victim, false)
		return
	}
	w.exchange(victim)
}

// exchange takes a machine away, and adds another one soon after.
func (w *simulation) exchange(victim *node) {
	zone := victim.info.Zone
	if len(w.all) >= len(w.network.blocked) {
		return
	}
	w.removeMachine(victim)
	w.after(w.lasting(300*time.Millisecond, 2*time.Second), func() {
		if added := w.addMachine(zone); added != nil {
			added.start()
		}
	})
}

// replaceUnplanned loses a machine, which another one replaces.
func (w *simulation) replaceUnplanned() {
	if victims := w.exchangeable(); len(victims) > 0 {
		w.exchange(pick(w, victims))
	}
}

// replaceTwo loses two machines within the time in which the first one's successor
// gets its vote, as far as a majority of the voters stays sound.
func (w *simulation) replaceTwo() {
	w.replaceUnplanned()
	w.after(w.upTo(min(voteBound, w.settings.calmFrom()-w.now)), w.replaceUnplanned)
}

// replacePlanned adds a machine, and takes another one away once the new one has
// a vote.
func (w *simulation) replacePlanned() {
	const step = 50 * time.Millisecond
	const patience = 8 * time.Second
	victims := w.exchangeable()
	if len(victims) == 0 {
		return
	}
	victim := pick(w, victims)
	added := w.addMachine(victim.info.Zone)
	if added == nil {
		return
	}
	added.start()
	deadline := min(w.now+patience, w.settings.calmFrom()-time.Second)
	var look func()
	look = func() {
		switch {
		case w.now >= deadline || victim.gone:
		case w.votes(added) && w.mayLose(victim):
			w.leaveThen(victim, func() { w.removeMachine(victim) })
		default:
			w.after(step, look)
		}
	}
	w.after(step, look)
}

// leaveThen stops a node in good order, at times, and then does what follows.
func (w *simulation) leaveThen(one *node, then func()) {
	const leaveGrace = 200 * time.Millisecond
	one.leaving = true
	if !one.up || w.chance(0.3) {
		then()
		return
	}
	one.post(one.life, one.machine.Leave)
	w.after(leaveGrace, then)
}

// votes tells whether a node has a vote in every shard.
func (w *simulation) votes(one *node) bool {
	for shard := range w.serviceShards + 1 {
		places, known := w.places(shard)
		voter := replication.Voter{ID: one.info.ID, Incarnation: one.storage.incarnation}
		if !known || !lo.Contains(places, replication.Slot{Voter: voter}) {
			return false
		}
	}
	return true
}

// moveSeeds names other nodes with disks as seeds, or addresses where nobody
// listens.
func (w *simulation) moveSeeds() {
	disks := lo.Map(w.diskNodes(), func(one *node, _ int) string { return one.info.Address })
	w.random.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
	w.seeds = disks[:min(maxSeeds, len(disks))]
	if w.chance(0.3) {
		w.seeds[0] = "gone:7100"
	}
	w.spreadSeeds()
}

// loseRelayParent stops, freezes or cuts off a node just before an order, so that
// its children in the relay tree have to get the new state elsewhere.
func (w *simulation) loseRelayParent() {
	victim := pick(w, w.nodes)
	switch w.random.IntN(3) {
	case 0:
		w.restartAfter(victim, w.lasting(2*time.Second, 3*time.Second))
	case 1:
		victim.freeze(w.lasting(2*time.Second, 3*time.Second))
	default:
		w.cutFor([]*node{victim}, w.nodes, true)
	}
	w.after(w.upTo(200*time.Millisecond), func() { w.place(w.addKey(0)) })
}

// kindsOfGroups are the faults of deployments whose group is named, and
// kindsOfSeeds those of deployments that find themselves through seeds.
var (
	kindsOfGroups = []string{"majority-disk-loss"}
	kindsOfSeeds  = []string{"machine-replaced", "machine-replaced-planned", "two-machines-replaced", "seeds-moved", "relay-parent-lost"}
)

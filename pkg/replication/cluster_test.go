package replication_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	heartbeatEvery  = 30 * time.Millisecond
	electionTimeout = 100 * time.Millisecond
	leaseDuration   = 240 * time.Millisecond
	leaseMargin     = 24 * time.Millisecond
	tickEvery       = 10 * time.Millisecond
)

// faults are the chances of what can happen to a message or a sync.
type faults struct {
	lose, double, stall float64
	maxDelay            time.Duration
}

type link struct{ from, to member.ID }

type packet struct {
	at   time.Duration
	link link
	life int
	m    replication.Message
}

// node is one member with its disk. What the state machine has not been told
// to be durable is lost in a crash.
type node struct {
	id      member.ID
	group   *replication.Group
	disk    replication.Restored
	learner bool
	life    int
	// founder tells that the settings of the node name the founders.
	founder bool
	// known, left and gone are what gossip tells: the node has started once, it
	// is about to stop, or it stopped for good and its disk with it.
	known, left, gone bool
	// diskLife numbers the disks that the node has had.
	diskLife uint64
	// lostAt is when the node lost a disk last.
	lostAt time.Duration
	// places is the newest group that the node was seen with on this disk.
	places []replication.Place
	// held is a Ready whose sync has not ended.
	held *replication.Ready
	// stalled keeps every sync from ending.
	stalled bool
	// pausedUntil is when the process runs on; its clock does not stop.
	pausedUntil time.Duration
	// applied is the chain digest of all applied entries, at appliedIndex.
	applied      uint64
	appliedIndex uint64
	// reads maps a read to the index that its answer must cover.
	reads         map[uint64]uint64
	answered      int
	failed        int
	offset, drift time.Duration
}

// cluster runs a group over a simulated network and checks, after each event,
// what must hold whatever happens.
type cluster struct {
	config  replication.Config
	nodes   []*node
	now     time.Duration
	random  *rand.Rand
	faults  faults
	cut     map[link]bool
	packets []packet
	// digests and owners are what the whole cluster has ever agreed on.
	digests map[uint64]uint64
	owners  map[uint64]replication.Voter
	highest uint64
	// wiped tells that a disk was lost whose member gets no vote again; in
	// schedules with neverRepaired there is one such loss at most.
	wiped         bool
	neverRepaired bool
	// majorityLost allows losses of any number of disks at once.
	majorityLost bool
	// lost counts the disks that were lost and are to be repaired.
	lost int
	// reformed counts how often the group was formed anew; ballotsFail keeps it
	// from that, as if the state could not be found.
	reformed    int
	ballotsFail bool
	// forgetful restarts founders without the names of the founders, once their
	// disks tell of the group.
	forgetful bool
	// elastic tells that nodes come and go.
	elastic bool
}

// Marks before the IDs of members that are no founders: one is there from the
// start, the other starts later. A bound on the voters stands among the IDs.
const (
	peerMark  = "+"
	laterMark = "-"
	maxMark   = "max="
)

func newCluster(random *rand.Rand, ids ...member.ID) *cluster {
	c := &cluster{
		random: random,
		faults: faults{maxDelay: time.Millisecond},
		config: replication.Config{
			HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
			LeaseDuration: leaseDuration, LeaseMargin: leaseMargin, MaxLogEntries: 2,
		},
		cut:     map[link]bool{},
		digests: map[uint64]uint64{},
		owners:  map[uint64]replication.Voter{},
	}
	for _, id := range ids {
		c.addNode(string(id))
	}
	for _, n := range c.nodes {
		if n.known {
			c.start(n)
		}
	}
	return c
}

func (c *cluster) addNode(marked string) {
	if bound, found := strings.CutPrefix(marked, maxMark); found {
		c.config.MaxVoters, _ = strconv.Atoi(bound)
		return
	}
	n := &node{
		id:       member.ID(strings.TrimLeft(marked, peerMark+laterMark)),
		diskLife: replication.FoundingLife,
		known:    !strings.HasPrefix(marked, laterMark),
	}
	n.founder = marked == string(n.id)
	if n.founder {
		c.config.Group = append(c.config.Group, n.id)
	}
	c.nodes = append(c.nodes, n)
}

// present are the nodes that are not gone for good.
func (c *cluster) present() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.gone })
}

// gossip tells all nodes which others there are.
func (c *cluster) gossip() {
	for _, n := range c.nodes {
		if n.group != nil {
			n.group.SetPeers(c.clock(n), c.peers())
		}
	}
}

func (c *cluster) peers() []replication.Peer {
	var peers []replication.Peer
	for _, n := range c.nodes {
		if n.known {
			peers = append(peers, replication.Peer{ID: n.id, Left: n.left})
		}
	}
	return peers
}

func (c *cluster) node(id member.ID) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// clock is the node's own: it differs in zero and in rate.
func (c *cluster) clock(n *node) time.Duration {
	return n.offset + c.now + c.now/1000*n.drift
}

func (c *cluster) start(n *node) {
	config := c.config
	config.Self = n.id
	config.Learner = n.learner
	config.Life = n.diskLife
	if !n.founder || (c.forgetful && n.life%2 == 1 && n.diskKnowsGroup()) {
		config.Group = nil
	}
	group, err := replication.New(config, n.disk, c.clock(n))
	Expect(err).NotTo(HaveOccurred())
	n.group = group
	group.ExpectState()
	n.life++
	if n.known {
		group.SetPeers(c.clock(n), c.peers())
	} else {
		n.known = true
		c.gossip()
	}
	n.reads = map[uint64]uint64{}
	n.applied, n.appliedIndex = 0, 0
	if n.disk.Snapshot != nil {
		c.restore(n, n.disk.Snapshot)
	}
}

// crash loses the held Ready, or only what follows its sync.
func (c *cluster) crash(n *node, synced bool) {
	if n.held != nil && synced {
		n.write(*n.held)
	}
	n.held = nil
	n.group = nil
}

func (c *cluster) wipe(n *node) {
	c.crash(n, false)
	n.disk = replication.Restored{}
	n.diskLife = nextLife(n.diskLife)
	n.learner = true
}

// nextLife never comes back to an earlier life, and orders them in no way.
func nextLife(life uint64) uint64 {
	const multiplier, increment = 2862933555777941757, 3037000493
	return life*multiplier + increment
}

// loseDisk ends the node; it starts again under a new life.
func (c *cluster) loseDisk(n *node) {
	c.wipe(n)
	n.learner = false
	n.places = nil
	n.lostAt = c.now
	c.lost++
}

// end ends the node and its disk for good.
func (c *cluster) end(n *node) {
	c.loseDisk(n)
	n.gone = true
}

func (n *node) diskKnowsGroup() bool {
	return n.disk.Snapshot != nil || len(n.disk.Entries) > 0
}

func (n *node) voter() replication.Voter {
	return replication.Voter{ID: n.id, Life: n.diskLife}
}

// intactAfter tells whether each group that any node goes by keeps a majority
// when the disk of the node is lost too.
func (c *cluster) intactAfter(loss *node) bool {
	for _, n := range c.nodes {
		voters, intact := 0, 0
		for _, place := range n.places {
			if place.Learner {
				continue
			}
			voters++
			if place.ID != loss.id && place.Voter == c.node(place.ID).voter() {
				intact++
			}
		}
		if c.elastic && voters > 0 {
			voters += c.maybeAdded(n, loss)
		}
		if voters > 0 && intact <= voters/2 {
			return false
		}
	}
	return true
}

// heardLate is how long after its end a node may still count as heard, also by
// one that was paused.
const heardLate = time.Second

// maybeAdded counts the lives without a vote in the group that the node goes by,
// which may be given one although they are lost, as the leader has not missed
// them yet.
func (c *cluster) maybeAdded(n, loss *node) int {
	added := 0
	for _, lost := range c.nodes {
		recent := lost == loss || (lost.lostAt > 0 && c.now < lost.lostAt+heardLate)
		if recent && !slices.ContainsFunc(n.places, func(p replication.Place) bool { return p.ID == lost.id && !p.Learner }) {
			added++
		}
	}
	return added
}

func (n *node) write(ready replication.Ready) {
	if ready.Snapshot != nil {
		n.disk.Snapshot = ready.Snapshot
		n.disk.Entries = nil
	}
	if len(ready.Entries) > 0 {
		first, covered := ready.Entries[0].Index, uint64(0)
		if n.disk.Snapshot != nil {
			covered = n.disk.Snapshot.Index
		}
		if first <= covered || first > covered+uint64(len(n.disk.Entries))+1 {
			Fail(fmt.Sprintf("%s: entry %d does not follow on the disk", n.id, first))
		}
		kept := slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e replication.Entry) bool { return e.Index >= first })
		n.disk.Entries = append(kept, ready.Entries...)
	}
	if ready.HardState != nil {
		n.disk.HardState = *ready.HardState
	}
}

// drain does what a driver does, until the node has nothing more to do.
func (c *cluster) drain(n *node) {
	for n.group != nil && n.held == nil && n.group.HasReady() {
		ready := n.group.Ready()
		if ready.MustSync() && (n.stalled || c.random.Float64() < c.faults.stall) {
			n.held = &ready
			return
		}
		c.finish(n, ready)
	}
	c.check()
}

func (c *cluster) finish(n *node, ready replication.Ready) {
	n.write(ready)
	for _, outbound := range ready.Messages {
		c.post(n, outbound)
	}
	if ready.Snapshot != nil {
		c.restore(n, ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		c.apply(n, entry)
	}
	for _, read := range ready.Reads {
		Expect(read.Index).To(BeNumerically(">=", n.reads[read.ID]), "%s: stale read", n.id)
		Expect(n.appliedIndex).To(BeNumerically(">=", read.Index))
		n.answered++
	}
	n.failed += len(ready.ReadsFailed)
	n.group.Advance()
}

// release ends the sync of the held Ready.
func (c *cluster) release(n *node) {
	if n.held == nil {
		return
	}
	ready := *n.held
	n.held = nil
	c.finish(n, ready)
	c.drain(n)
}

func (c *cluster) apply(n *node, entry replication.Entry) {
	Expect(entry.Index).To(Equal(n.appliedIndex+1), "%s: applied out of order", n.id)
	n.applied = digestAfter(n.applied, entry)
	n.appliedIndex = entry.Index
	if agreed, known := c.digests[entry.Index]; known {
		Expect(n.applied).To(Equal(agreed), "%s: another history at %d", n.id, entry.Index)
	}
	c.digests[entry.Index] = n.applied
	c.highest = max(c.highest, entry.Index)
}

func (c *cluster) restore(n *node, snapshot *replication.Snapshot) {
	n.applied = binary.BigEndian.Uint64(snapshot.Data)
	n.appliedIndex = snapshot.Index
	Expect(n.applied).To(Equal(c.digests[snapshot.Index]), "%s: another snapshot", n.id)
}

func (c *cluster) compact(n *node) error {
	if n.group == nil || n.held != nil {
		return nil
	}
	err := n.group.Compact(n.appliedIndex, binary.BigEndian.AppendUint64(nil, n.applied))
	if err == nil {
		n.disk = n.group.Checkpoint()
	}
	return err
}

// reform forms the group anew once a node has won a ballot. What no member
// knows any more was lost with the disks.
func (c *cluster) reform(n *node) {
	ballot, won := n.group.Ballot()
	if !won || c.ballotsFail {
		return
	}
	if used := slices.Max(append(slices.Collect(maps.Keys(c.owners)), 0)); used >= ballot {
		// All who knew the epoch may have lost their disks; witnesses have not.
		n.group.RaiseBallot(used)
		c.drain(n)
		return
	}
	state := n.applied
	for _, entry := range n.group.Unapplied() {
		state = digestAfter(state, entry)
	}
	c.highest = 0
	for _, other := range c.nodes {
		c.highest = max(c.highest, other.appliedIndex)
	}
	maps.DeleteFunc(c.digests, func(index uint64, _ uint64) bool { return index > c.highest })
	Expect(n.group.Reform(c.clock(n), ballot, binary.BigEndian.AppendUint64(nil, state))).To(Succeed())
	c.reformed++
	c.drain(n)
}

func digestAfter(digest uint64, entry replication.Entry) uint64 {
	if entry.Kind == replication.EntryRestore {
		return binary.BigEndian.Uint64(entry.Command)
	}
	digest = digest*1099511628211 + entry.Epoch*31 + uint64(entry.Kind)
	for _, b := range entry.Command {
		digest = digest*1099511628211 + uint64(b)
	}
	return digest
}

func (c *cluster) read(n *node) {
	id, err := n.group.RequestRead(c.clock(n))
	if err == nil {
		n.reads[id] = c.highest
	}
	c.drain(n)
}

func (c *cluster) post(n *node, outbound replication.Outbound) {
	copies := 1
	if c.random.Float64() < c.faults.lose {
		copies = 0
	} else if c.random.Float64() < c.faults.double {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1 + c.random.Int64N(int64(c.faults.maxDelay)))
		c.enqueue(packet{
			at: c.now + delay, link: link{n.id, outbound.To}, life: c.node(outbound.To).life, m: outbound.Message,
		})
	}
}

// enqueue keeps the packets in the order of their arrival.
func (c *cluster) enqueue(p packet) {
	index, _ := slices.BinarySearchFunc(c.packets, p, func(a, b packet) int {
		return cmp.Or(cmp.Compare(a.at, b.at), -1)
	})
	c.packets = slices.Insert(c.packets, index, p)
}

// advance lets time pass by one tick and delivers what is due.
func (c *cluster) advance() {
	end := c.now + tickEvery
	for len(c.packets) > 0 && c.packets[0].at <= end {
		next := c.packets[0]
		c.packets = c.packets[1:]
		c.now = next.at
		c.deliver(next)
	}
	c.now = end
	for _, n := range c.nodes {
		if n.group != nil && c.now >= n.pausedUntil {
			n.group.Tick(c.clock(n))
			c.drain(n)
			c.reform(n)
		}
	}
}

func (c *cluster) deliver(p packet) {
	n := c.node(p.link.to)
	// A connection does not outlive a lost disk; it may outlive all else here.
	stale := n.learner && p.life != n.life
	if n.group == nil || c.cut[p.link] || stale {
		return
	}
	if c.now < n.pausedUntil {
		p.at = n.pausedUntil
		c.enqueue(p)
		return
	}
	Expect(n.group.Step(c.clock(n), p.link.from, p.m)).To(Succeed())
	c.drain(n)
}

// check holds at every instant: an epoch has one owner ever, one member at
// most may command, and learners never own.
func (c *cluster) check() {
	var holders []member.ID
	for _, n := range c.nodes {
		if n.group == nil {
			continue
		}
		status := n.group.Status()
		if status.Role == replication.RoleOwner {
			if n.learner {
				Fail("a learner owns")
			}
			if owner, known := c.owners[status.Epoch]; known && owner != n.voter() {
				Expect(n.voter()).To(Equal(owner), "epoch %d has two owners", status.Epoch)
			}
			c.owners[status.Epoch] = n.voter()
		}
		n.places = status.Places
		if n.group.MayCommand(c.clock(n)) {
			holders = append(holders, n.id)
		}
	}
	if len(holders) > 1 {
		Fail(fmt.Sprintf("two hold the command lease: %v", holders))
	}
}

// cell draws a node: role, epoch, commit/last, and marks. A group that is not
// the founding one shows as the number of voters @ the index of the change.
func (c *cluster) cell(n *node) string {
	if n.group == nil {
		return "down"
	}
	status := n.group.Status()
	cell := fmt.Sprintf("%s e%d %d/%d", status.Role, status.Epoch, status.Commit, status.LastIndex)
	if status.SnapshotIndex > 0 {
		cell += fmt.Sprintf(" s%d", status.SnapshotIndex)
	}
	if n.group.MayCommand(c.clock(n)) {
		cell += " lease"
	}
	if !slices.Equal(status.Places, founded(c.config.Group...)) {
		cell += fmt.Sprintf(" v%d@%d", len(status.Group), status.ChangeIndex)
	}
	return cell
}

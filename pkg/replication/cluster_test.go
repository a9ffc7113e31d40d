package replication_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

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

// node is one member with its disk. What was not written to the disk is
// lost in a crash.
type node struct {
	id         member.ID
	group      *replication.Group
	disk       replication.Restored
	learner    bool
	startCount int
	// founder tells that the settings of the node name the founders.
	founder bool
	// announced, left and gone are what gossip tells: the node has started once, it
	// is about to stop, or it stopped for good and its disk with it.
	announced, left, gone bool
	// incarnation numbers the disks that the node has had.
	incarnation uint64
	// diskLostAt is when the node lost a disk last.
	diskLostAt time.Duration
	// slots is the newest group that the node was seen with on this disk.
	slots []replication.Slot
	// pendingReady is a Ready whose sync has not ended.
	pendingReady *replication.Ready
	// stalled keeps every sync from ending.
	stalled bool
	// pausedUntil is when the process runs on; its clock does not stop.
	pausedUntil time.Duration
	// applied is the chain digest of all applied entries, at appliedIndex.
	applied      uint64
	appliedIndex uint64
	// reads maps a read to the index that its result must cover.
	reads         map[uint64]uint64
	readsServed   int
	readsFailed   int
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
	blocked map[link]bool
	packets []packet
	// digests and leaders are what the whole cluster has ever agreed on.
	digests        map[uint64]uint64
	leaders        map[uint64]replication.Voter
	highestApplied uint64
	// wiped tells that a disk was lost whose member gets no vote again; in
	// schedules with neverRepaired there is one such loss at most.
	wiped         bool
	neverRepaired bool
	// majorityLost allows losses of any number of disks at once.
	majorityLost bool
	// disksLost counts the disks that were lost and are to be repaired.
	disksLost int
	// recoveries counts how often the group was recovered; recoveryBlocked prevents
	// that, as if the state could not be found.
	recoveries      int
	recoveryBlocked bool
	// withoutFounders restarts founders without the names of the founders, once their
	// disks tell of the group.
	withoutFounders bool
	// elastic tells that nodes come and go.
	elastic bool
}

// Prefixes of the IDs of members that are no founders: one is there from the
// start, the other starts later. A bound on the voters stands among the IDs.
const (
	peerPrefix      = "+"
	laterPrefix     = "-"
	maxVotersPrefix = "max="
)

func newCluster(random *rand.Rand, ids ...member.ID) *cluster {
	c := &cluster{
		random: random,
		faults: faults{maxDelay: time.Millisecond},
		config: replication.Config{
			HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
			LeaseDuration: leaseDuration, LeaseMargin: leaseMargin, MaxLogEntries: 2,
		},
		blocked: map[link]bool{},
		digests: map[uint64]uint64{},
		leaders: map[uint64]replication.Voter{},
	}
	for _, id := range ids {
		c.addNode(string(id))
	}
	for _, n := range c.nodes {
		if n.announced {
			c.start(n)
		}
	}
	return c
}

func (c *cluster) addNode(marked string) {
	if bound, found := strings.CutPrefix(marked, maxVotersPrefix); found {
		c.config.MaxVoters, _ = strconv.Atoi(bound)
		return
	}
	n := &node{
		id:          member.ID(strings.TrimLeft(marked, peerPrefix+laterPrefix)),
		incarnation: replication.FoundingIncarnation,
		announced:   !strings.HasPrefix(marked, laterPrefix),
	}
	n.founder = marked == string(n.id)
	if n.founder {
		c.config.Founders = append(c.config.Founders, n.id)
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
		if n.announced {
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

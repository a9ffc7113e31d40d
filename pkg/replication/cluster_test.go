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

// node is one member with its disk. State that was not written to the disk is lost in a
// crash.
type node struct {
	id         member.ID
	group      *replication.Group
	disk       replication.Restored
	learner    bool
	startCount int
	// founder is true if the settings of the node contain the founders.
	founder bool
	// announced, left and gone are what gossip reports: the node has started at least once,
	// it is about to stop, or it has stopped permanently and its disk is lost.
	announced, left, gone bool
	// incarnation identifies the present disk of the node.
	incarnation uint64
	// diskLostAt is when the node last lost a disk.
	diskLostAt time.Duration
	// slots is the group that the node last reported with its present disk.
	slots []replication.Slot
	// pendingReady is a Ready whose sync has not completed.
	pendingReady *replication.Ready
	// stalled prevents all syncs from completing.
	stalled bool
	// pausedUntil is when the paused process continues; its clock runs on during the pause.
	pausedUntil time.Duration
	// applied is the hash over all applied entries up to appliedIndex.
	applied      uint64
	appliedIndex uint64
	// reads maps the ID of a read to the index that its result must cover.
	reads         map[uint64]uint64
	readsServed   int
	readsFailed   int
	offset, drift time.Duration
}

// cluster runs a group over a simulated network and checks the invariants after each event.
type cluster struct {
	config  replication.Config
	nodes   []*node
	now     time.Duration
	random  *rand.Rand
	faults  faults
	blocked map[link]bool
	packets []packet
	// digests and leaders record, for the whole cluster, the state at each applied index and
	// the leader of each term.
	digests        map[uint64]uint64
	leaders        map[uint64]replication.Voter
	highestApplied uint64
	// wiped is true if a disk was lost whose member gets no vote again; in schedules with
	// neverRepaired there is at most one such loss.
	wiped         bool
	neverRepaired bool
	// majorityLost allows any number of disks to be lost at once.
	majorityLost bool
	// disksLost counts the lost disks whose members are to be given their vote again.
	disksLost int
	// recoveries counts how often the group was recovered. recoveryBlocked prevents
	// recoveries, as if the state had not been found yet.
	recoveries      int
	recoveryBlocked bool
	// withoutFounders omits the founders from the settings at every second start of a founder
	// whose disk contains the group.
	withoutFounders bool
	// elastic is true if nodes join and leave.
	elastic bool
}

// Prefixes in the list of IDs. "+" marks a member that is not a founder and is present from
// the start, "-" one that starts later, and "max=" sets MaxVoters.
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

// present returns the nodes that are not permanently gone.
func (c *cluster) present() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.gone })
}

// gossip updates the list of peers on all running nodes.
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

// clock returns the time of the node's own clock, which has its own offset and rate.
func (c *cluster) clock(n *node) time.Duration {
	return n.offset + c.now + c.now/1000*n.drift
}

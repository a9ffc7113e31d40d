package relaytree_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

const (
	stepEvery = 5 * time.Millisecond
	topic     = relaytree.Topic(1)
)

type delivery struct {
	at       time.Duration
	from, to member.ID
	message  relaytree.Message
}

type node struct {
	id       member.ID
	zone     string
	machine  *relaytree.Machine
	dead     bool
	isolated bool
	revision uint64
	// model is the state that results from all updates, by the name of the section.
	model    map[string]string
	updates  int
	children map[member.ID]bool
}

// network runs machines on a virtual clock. It records a violation if a node's revision
// decreases, changes without an update, or is a mix of several revisions.
type network struct {
	random *rand.Rand
	now    time.Duration
	nodes  []*node
	queue  []delivery
	loss   float64
	// duplication is the fraction of messages that are delivered twice.
	duplication float64
	jitter      time.Duration
	published   uint64
	chunkBytes  int
	root        member.ID
	reference   referenceModel
	bytes       map[relaytree.MessageType]int
	chunks      int
	violations  []string
}

// nodeNames returns the names of count nodes, distributed evenly over zones, in the format
// that newNetwork expects.
func nodeNames(count, zones int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("n%02d@z%d", i, i%zones))
	}
	return names
}

// newNetwork returns a network with a node for each name, which has the format name@zone.
func newNetwork(seed uint64, names []string) *network {
	return newNetworkWithChunks(seed, names, relaytree.DefaultChunkBytes)
}

func newNetworkWithChunks(seed uint64, names []string, chunkBytes int) *network {
	net := &network{
		random:    rand.New(rand.NewPCG(seed, 2)),
		jitter:    time.Millisecond,
		reference: newReferenceModel(),

		chunkBytes: chunkBytes,
		bytes:      map[relaytree.MessageType]int{},
	}
	for _, name := range names {
		name, zone, _ := strings.Cut(strings.TrimSpace(name), "@")
		id := member.ID(name)
		n := &node{id: id, zone: zone, children: map[member.ID]bool{}}
		net.nodes = append(net.nodes, n)
		net.start(n)
	}
	net.setMembers(everyNode)
	return net
}

// start gives a node a new machine without any state.
func (net *network) start(n *node) {
	n.machine = relaytree.New(relaytree.Config{Self: n.id, ChunkBytes: net.chunkBytes})
	n.revision = 0
	n.model = map[string]string{}
}

// restart restarts a node without any state. The other nodes don't learn of the restart.
func (net *network) restart(n *node) {
	net.start(n)
	net.setMembers(func(other *node) bool { return other == n })
	n.machine.SetRoot(topic, net.root)
}

func everyNode(*node) bool { return true }

// setMembers passes the live nodes to those nodes for which receives returns true.
func (net *network) setMembers(receives func(*node) bool) {
	var members []relaytree.Member
	for _, n := range net.nodes {
		if !n.dead {
			members = append(members, relaytree.Member{ID: n.id, Zone: n.zone})
		}
	}
	for _, n := range net.nodes {
		if receives(n) {
			n.machine.SetMembers(members)
		}
	}
}

func (net *network) setRoot(root member.ID) {
	net.root = root
	for _, n := range net.nodes {
		n.machine.SetRoot(topic, root)
	}
}

func (net *network) publish(root *node) {
	net.published++
	net.reference.change(net.random, net.published)
	outbox, updates := root.machine.Publish(topic, net.published, net.reference.sections())
	net.applyUpdates(root, updates)
	net.send(root, outbox)
}

func (net *network) send(from *node, outbox []relaytree.Outbound) {
	for _, out := range outbox {
		message := out.Message
		net.bytes[message.Type] += len(wire.Encode(wire.Envelope{From: from.id, Relay: &message}))
		if message.Chunk > 0 && message.Type == relaytree.MessageUpdate {
			net.chunks++
		}
		if message.Type == relaytree.MessageUpdate {
			from.updates++
			from.children[out.To] = true
		}
		if net.random.Float64() < net.loss {
			continue
		}
		net.enqueue(delivery{from: from.id, to: out.To, message: message})
		if net.random.Float64() < net.duplication {
			net.enqueue(delivery{from: from.id, to: out.To, message: message})
		}
	}
}

// enqueue schedules the delivery of a message after a random delay, so that messages are
// reordered.
func (net *network) enqueue(d delivery) {
	d.at = net.now + time.Millisecond + time.Duration(net.random.Int64N(int64(net.jitter)+1))
	net.queue = append(net.queue, d)
}

func (net *network) node(id member.ID) *node {
	return lo.Must(lo.Find(net.nodes, func(n *node) bool { return n.id == id }))
}

func (net *network) run(duration time.Duration) {
	for until := net.now + duration; net.now < until; {
		net.now += stepEvery
		net.deliverDue()
		for _, n := range net.nodes {
			if !n.dead {
				net.send(n, n.machine.Tick(net.now))
			}
		}
	}
}

func (net *network) deliverDue() {
	isDue := func(d delivery, _ int) bool { return d.at <= net.now }
	due, later := lo.FilterReject(net.queue, isDue)
	net.queue = later
	slices.SortStableFunc(due, func(a, b delivery) int { return int(a.at - b.at) })
	for _, d := range due {
		if n := net.node(d.to); !n.dead && !n.isolated {
			net.deliver(n, d)
		}
	}
}

func (net *network) deliver(n *node, d delivery) {
	outbox, updates := n.machine.Step(net.now, d.from, d.message)
	net.applyUpdates(n, updates)
	net.send(n, outbox)
	if n.machine.Revision(topic) != n.revision {
		net.recordViolation("%s changed its revision without returning an update", n.id)
	}
}

// applyUpdates applies updates to the model of a node, and checks that each one has a newer
// revision, and that the resulting state is the one that was published at that revision.
func (net *network) applyUpdates(n *node, updates []relaytree.Update) {
	for _, update := range updates {
		if update.Revision <= n.revision {
			net.recordViolation("%s went from revision %d to %d", n.id, n.revision, update.Revision)
		}
		for _, section := range update.Sections {
			n.model[section.Name] = string(section.Content)
		}
		for _, name := range update.Removed {
			delete(n.model, name)
		}
		if mismatch := net.reference.mismatch(n.model, n.revision, update); mismatch != "" {
			net.recordViolation("%s differs from revision %d as published: section %s", n.id, update.Revision, mismatch)
		}
		n.revision = update.Revision
	}
}

func (net *network) recordViolation(format string, arguments ...any) {
	net.violations = append(net.violations, fmt.Sprint(net.now, ": ", fmt.Sprintf(format, arguments...)))
}

// lagging returns the live nodes without the newest revision.
func (net *network) lagging() []member.ID {
	return lo.FilterMap(net.nodes, func(n *node, _ int) (member.ID, bool) {
		return n.id, !n.dead && n.machine.Revision(topic) != net.published
	})
}

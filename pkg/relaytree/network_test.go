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
	id      member.ID
	zone    string
	machine *relaytree.Machine
	dead    bool
	deaf    bool
	newest  uint64
	// model is what the updates together say.
	model    map[string]string
	updates  int
	children map[member.ID]bool
}

// network runs machines on a virtual clock. After each step it checks that no
// node's revision falls.
type network struct {
	random *rand.Rand
	now    time.Duration
	nodes  []*node
	queue  []delivery
	loss   float64
	// duplication is the share of messages that come twice.
	duplication float64
	jitter      time.Duration
	published   uint64
	partBytes   int
	root        member.ID
	truth       truth
	bytes       map[relaytree.MessageType]int
	parts       int
	violations  []string
}

// numbered names count nodes, spread over zones, as newNetwork takes them.
func numbered(count, zones int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("n%02d@z%d", i, i%zones))
	}
	return names
}

// newNetwork makes a node for each name@zone.
func newNetwork(seed uint64, names []string) *network {
	return newNetworkWithParts(seed, names, relaytree.DefaultPartBytes)
}

func newNetworkWithParts(seed uint64, names []string, partBytes int) *network {
	w := &network{
		random: rand.New(rand.NewPCG(seed, 2)),
		jitter: time.Millisecond,
		truth:  newTruth(),

		partBytes: partBytes,
		bytes:     map[relaytree.MessageType]int{},
	}
	for _, name := range names {
		name, zone, _ := strings.Cut(strings.TrimSpace(name), "@")
		id := member.ID(name)
		n := &node{id: id, zone: zone, children: map[member.ID]bool{}}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.tellMembers(everyone)
	return w
}

// start gives a node a machine that holds nothing.
func (w *network) start(n *node) {
	n.machine = relaytree.New(relaytree.Config{Self: n.id, PartBytes: w.partBytes})
	n.newest = 0
	n.model = map[string]string{}
}

// restart lets a node forget all, before the others know of it.
func (w *network) restart(n *node) {
	w.start(n)
	w.tellMembers(func(other *node) bool { return other == n })
	n.machine.SetRoot(topic, w.root)
}

func everyone(*node) bool { return true }

// tellMembers gives some nodes the present view of who lives.
func (w *network) tellMembers(whom func(*node) bool) {
	var members []relaytree.Member
	for _, n := range w.nodes {
		if !n.dead {
			members = append(members, relaytree.Member{ID: n.id, Zone: n.zone})
		}
	}
	for _, n := range w.nodes {
		if whom(n) {
			n.machine.SetMembers(members)
		}
	}
}

func (w *network) setRoot(root member.ID) {
	w.root = root
	for _, n := range w.nodes {
		n.machine.SetRoot(topic, root)
	}
}

func (w *network) publish(root *node) {
	w.published++
	w.truth.change(w.random, w.published)
	outbox, updates := root.machine.Publish(topic, w.published, w.truth.sections())
	w.take(root, updates)
	w.send(root, outbox)
}

func (w *network) send(from *node, outbox []relaytree.Outbound) {
	for _, out := range outbox {
		message := out.Message
		w.bytes[message.Type] += len(wire.Encode(wire.Envelope{From: from.id, Relay: &message}))
		if message.Part > 0 && message.Type == relaytree.MessageUpdate {
			w.parts++
		}
		if message.Type == relaytree.MessageUpdate {
			from.updates++
			from.children[out.To] = true
		}
		if w.random.Float64() < w.loss {
			continue
		}
		w.carry(delivery{from: from.id, to: out.To, message: message})
		if w.random.Float64() < w.duplication {
			w.carry(delivery{from: from.id, to: out.To, message: message})
		}
	}
}

// carry lets a message arrive after a time of its own, so that messages overtake
// each other.
func (w *network) carry(d delivery) {
	d.at = w.now + time.Millisecond + time.Duration(w.random.Int64N(int64(w.jitter)+1))
	w.queue = append(w.queue, d)
}

func (w *network) node(id member.ID) *node {
	return lo.Must(lo.Find(w.nodes, func(n *node) bool { return n.id == id }))
}

func (w *network) run(duration time.Duration) {
	for until := w.now + duration; w.now < until; {
		w.now += stepEvery
		w.deliverDue()
		for _, n := range w.nodes {
			if !n.dead {
				w.send(n, n.machine.Tick(w.now))
			}
		}
	}
}

func (w *network) deliverDue() {
	isDue := func(d delivery, _ int) bool { return d.at <= w.now }
	due, later := lo.FilterReject(w.queue, isDue)
	w.queue = later
	slices.SortStableFunc(due, func(a, b delivery) int { return int(a.at - b.at) })
	for _, d := range due {
		if n := w.node(d.to); !n.dead && !n.deaf {
			w.deliver(n, d)
		}
	}
}

func (w *network) deliver(n *node, d delivery) {
	outbox, updates := n.machine.Step(w.now, d.from, d.message)
	w.take(n, updates)
	w.send(n, outbox)
	if n.machine.Revision(topic) != n.newest {
		w.violate("%s holds an untold revision", n.id)
	}
}

// take checks that each update leads to a newer revision, and to nothing but
// what was published under it.
func (w *network) take(n *node, updates []relaytree.Update) {
	for _, update := range updates {
		if update.Revision <= n.newest {
			w.violate("%s went from %d to %d", n.id, n.newest, update.Revision)
		}
		for _, section := range update.Sections {
			n.model[section.Name] = string(section.Content)
		}
		for _, name := range update.Removed {
			delete(n.model, name)
		}
		if wrong := w.truth.wrong(n.model, n.newest, update); wrong != "" {
			w.violate("%s mixes revision %d: section %s", n.id, update.Revision, wrong)
		}
		n.newest = update.Revision
	}
}

func (w *network) violate(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprint(w.now, ": ", fmt.Sprintf(format, arguments...)))
}

// behind lists the live nodes without the newest revision.
func (w *network) behind() []member.ID {
	return lo.FilterMap(w.nodes, func(n *node, _ int) (member.ID, bool) {
		return n.id, !n.dead && n.machine.Revision(topic) != w.published
	})
}

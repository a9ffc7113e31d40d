package relaytree_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/samber/lo"
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
	deaf     bool
	newest   uint64
	updates  int
	children map[member.ID]bool
}

// network runs machines on a virtual clock. After each step it checks that no
// node's revision falls.
type network struct {
	random     *rand.Rand
	now        time.Duration
	nodes      []*node
	queue      []delivery
	loss       float64
	jitter     time.Duration
	published  uint64
	violations []string
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
	w := &network{random: rand.New(rand.NewPCG(seed, 2)), jitter: time.Millisecond}
	for _, name := range names {
		name, zone, _ := strings.Cut(strings.TrimSpace(name), "@")
		id := member.ID(name)
		w.nodes = append(w.nodes, &node{
			id:       id,
			zone:     zone,
			machine:  relaytree.New(relaytree.Config{Self: id}),
			children: map[member.ID]bool{},
		})
	}
	w.tellMembers(everyone)
	return w
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
	for _, n := range w.nodes {
		n.machine.SetRoot(topic, root)
	}
}

func (w *network) publish(root *node) {
	w.published++
	root.newest = w.published
	w.send(root, root.machine.Publish(topic, w.published, []byte(fmt.Sprint(w.published))))
}

func (w *network) send(from *node, outbox []relaytree.Outbound) {
	for _, out := range outbox {
		if out.Message.Type == relaytree.MessageUpdate {
			from.updates++
			from.children[out.To] = true
		}
		if w.random.Float64() < w.loss {
			continue
		}
		at := w.now + time.Millisecond + time.Duration(w.random.Int64N(int64(w.jitter)+1))
		w.queue = append(w.queue, delivery{at: at, from: from.id, to: out.To, message: out.Message})
	}
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
	w.send(n, outbox)
	for _, update := range updates {
		if update.Revision <= n.newest || string(update.Payload) != fmt.Sprint(update.Revision) {
			w.violations = append(w.violations, fmt.Sprintf("%v: %s went from %d to %d", w.now, n.id, n.newest, update.Revision))
		}
		n.newest = update.Revision
	}
	if n.machine.Revision(topic) != n.newest {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s holds an untold revision", w.now, n.id))
	}
}

// behind lists the live nodes without the newest revision.
func (w *network) behind() []member.ID {
	return lo.FilterMap(w.nodes, func(n *node, _ int) (member.ID, bool) {
		return n.id, !n.dead && n.machine.Revision(topic) != w.published
	})
}

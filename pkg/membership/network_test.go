package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

const tickEvery = 50 * time.Millisecond

// node is a host of the simulated network and the process that runs on it.
type node struct {
	id          member.ID
	zone        string
	machine     *membership.Machine // nil while no process runs
	frozen      bool
	incarnation member.Incarnation
	offset      time.Duration
	rate        float64
	process     int
	left        bool
	// checkedTable and checkedDeadline are the table digest and the fence deadline at the
	// last check of this process; valid if checked is set.
	checked         bool
	checkedTable    uint64
	checkedDeadline time.Duration
}

func (n *node) isRunning() bool { return n.machine != nil && !n.frozen }

// event is the delivery of a message, or a tick if message is nil.
type event struct {
	at      time.Duration
	order   int
	to      string
	process int
	message *membership.Message
	from    string
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type link struct{ from, to string }

// network runs the nodes' machines on a virtual clock. After each event it checks that no
// serving member is certainly fenced according to any node.
type network struct {
	random     *rand.Rand
	config     membership.Config
	now        time.Duration
	order      int
	queue      eventQueue
	nodes      map[string]*node
	names      []string
	all        []*node
	blocked    map[link]bool
	loss       float64
	duplicates float64
	latency    time.Duration
	jitter     time.Duration
	violations []string
	// incarnationsMayDecrease lets a process start with a smaller incarnation than the
	// node's earlier process. IncarnationEnded guarantees nothing in this case.
	incarnationsMayDecrease bool
	// onSend, if set, is called for each message that a node sends.
	onSend func(from string, out membership.Outbound)
}

func newNetwork(seed uint64) *network {
	return &network{
		random:  rand.New(rand.NewPCG(seed, 1)),
		nodes:   map[string]*node{},
		blocked: map[link]bool{},
		latency: time.Millisecond,
		jitter:  time.Millisecond,
	}
}

func (net *network) add(name, zone string) {
	net.nodes[name] = &node{id: member.ID(name), zone: zone, rate: 1}
	net.all = append(net.all, net.nodes[name])
	net.names = append(net.names, name)
}

func (net *network) clock(n *node) time.Duration {
	return n.offset + time.Duration(float64(net.now)*n.rate)
}

// start starts a new process on a node. The clock of the process starts at a random time.
func (net *network) start(name string, seeds ...string) {
	n := net.nodes[name]
	n.incarnation += 1000
	if net.incarnationsMayDecrease {
		n.incarnation = member.Incarnation(1 + net.random.IntN(1_000_000_000))
	}
	n.process++
	n.frozen, n.left, n.checked = false, false, false
	n.offset = time.Duration(net.random.IntN(1000)) * time.Second
	cfg := net.config
	cfg.Seeds = seeds
	cfg.Self = member.Info{ID: n.id, Address: name, Zone: n.zone, Incarnation: n.incarnation}
	n.machine = membership.New(cfg, net.clock(n))
	net.push(event{at: net.now + time.Duration(net.random.IntN(int(tickEvery))), to: name, process: n.process})
}

func (net *network) kill(name string) { net.nodes[name].machine = nil }

func (net *network) leave(name string) {
	n := net.nodes[name]
	n.left = true
	net.send(name, n.machine.Leave(net.clock(n)))
	net.check(name)
}

func (net *network) isolate(name string, blocked bool) {
	for _, other := range net.names {
		net.blocked[link{name, other}] = blocked
		net.blocked[link{other, name}] = blocked
	}
}

func (net *network) push(e event) {
	net.order++
	e.order = net.order
	heap.Push(&net.queue, e)
}

func (net *network) send(from string, outbox []membership.Outbound) {
	for _, out := range outbox {
		if net.onSend != nil {
			net.onSend(from, out)
		}
		to := out.Address
		if to == "" {
			to = string(out.To)
		}
		if _, known := net.nodes[to]; !known || net.blocked[link{from, to}] || net.random.Float64() < net.loss {
			continue
		}
		net.deliverLater(from, to, out.Message)
		if net.random.Float64() < net.duplicates {
			net.deliverLater(from, to, out.Message)
		}
	}
}

func (net *network) deliverLater(from, to string, msg membership.Message) {
	at := net.now + net.latency + time.Duration(net.random.Int64N(int64(net.jitter)+1))
	net.push(event{at: at, to: to, from: from, message: &msg})
}

// runUntil handles all events up to the given time and sets the clock to it.
func (net *network) runUntil(until time.Duration) {
	for len(net.queue) > 0 && net.queue[0].at <= until {
		e := heap.Pop(&net.queue).(event)
		net.now = e.at
		net.handle(e)
	}
	net.now = until
}

func (net *network) handle(e event) {
	n := net.nodes[e.to]
	if e.message == nil {
		if n.machine != nil && e.process == n.process {
			net.push(event{at: net.now + tickEvery, to: e.to, process: e.process})
			if n.isRunning() {
				net.send(e.to, n.machine.Tick(net.clock(n)))
				net.check(e.to)
			}
		}
		return
	}
	if n.machine == nil || net.blocked[link{e.from, e.to}] {
		return
	}
	if n.frozen {
		// Messages to a frozen process stay in the socket buffer until it runs again.
		net.push(event{at: net.now + tickEvery, to: e.to, from: e.from, message: e.message})
		return
	}
	net.send(e.to, n.machine.Step(net.clock(n), *e.message))
	net.check(e.to)
}

func (net *network) serves(name string) bool {
	return net.nodes[name].serves(net)
}

func (n *node) serves(net *network) bool {
	return n.machine != nil && !n.machine.Fenced(net.clock(n))
}

// unchanged reports whether the table and the fence deadline are the same as at the last
// check. If so, this node hasn't become certain of a further fence since, and it serves now
// only if it served then.
func (n *node) unchanged() bool {
	table, deadline := n.machine.Digest(), n.machine.FenceDeadline()
	same := n.checked && table == n.checkedTable && deadline == n.checkedDeadline
	n.checked, n.checkedTable, n.checkedDeadline = true, table, deadline
	return same
}

// check compares a node that changed with all other nodes: the changed node may have become
// certain of another node's fence, or may have begun to serve.
func (net *network) check(changed string) {
	n := net.nodes[changed]
	if n.unchanged() {
		return
	}
	serves := net.serves(changed)
	for _, other := range net.all {
		if other.serves(net) {
			net.checkPair(n, other)
		}
		if serves {
			net.checkPair(other, n)
		}
	}
}

func (net *network) checkPair(observer, subject *node) {
	if observer.machine == nil {
		return
	}
	incarnation, _ := subject.machine.Incarnation(subject.id)
	seen, _ := observer.machine.Incarnation(subject.id)
	certain := observer.machine.CertainlyFenced(subject.id) && seen == incarnation
	if certain || !net.incarnationsMayDecrease && observer.machine.IncarnationEnded(subject.id, incarnation) {
		net.violations = append(net.violations, fmt.Sprintf("%v: %s considers %s@%d certainly fenced or ended, but it serves traffic", net.now, observer.id, subject.id, incarnation))
	}
}

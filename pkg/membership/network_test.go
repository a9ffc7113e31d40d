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

// node is one machine of the virtual network and the process on it.
type node struct {
	id          member.ID
	zone        string
	machine     *membership.Machine // nil while no process runs
	frozen      bool
	incarnation member.Incarnation
	offset      time.Duration
	rate        float64
	life        int
	left        bool
	// checkedTable and checkedDeadline are what the last check of this life saw.
	checked         bool
	checkedTable    uint64
	checkedDeadline time.Duration
}

func (n *node) runs() bool { return n.machine != nil && !n.frozen }

// event is a delivery or, without a message, a tick.
type event struct {
	at      time.Duration
	order   int
	to      string
	life    int
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

type oneWay struct{ from, to string }

// network runs machines on a virtual clock, and checks after each event that
// no member serves that somebody counts as certainly fenced.
type network struct {
	random     *rand.Rand
	config     membership.Config
	now        time.Duration
	order      int
	queue      eventQueue
	nodes      map[string]*node
	names      []string
	all        []*node
	cut        map[oneWay]bool
	loss       float64
	duplicates float64
	latency    time.Duration
	jitter     time.Duration
	violations []string
	// clocksGoBack lets incarnations fall from one process to the next, about
	// which LifeEnded makes no promise.
	clocksGoBack bool
	// onSend, if set, sees each message that a node sends.
	onSend func(from string, out membership.Outbound)
}

func newNetwork(seed uint64) *network {
	return &network{
		random:  rand.New(rand.NewPCG(seed, 1)),
		nodes:   map[string]*node{},
		cut:     map[oneWay]bool{},
		latency: time.Millisecond,
		jitter:  time.Millisecond,
	}
}

func (w *network) add(name, zone string) {
	w.nodes[name] = &node{id: member.ID(name), zone: zone, rate: 1}
	w.all = append(w.all, w.nodes[name])
	w.names = append(w.names, name)
}

func (w *network) clock(n *node) time.Duration {
	return n.offset + time.Duration(float64(w.now)*n.rate)
}

// start runs a new process, whose clock begins anywhere.
func (w *network) start(name string, seeds ...string) {
	n := w.nodes[name]
	n.incarnation += 1000
	if w.clocksGoBack {
		n.incarnation = member.Incarnation(1 + w.random.IntN(1_000_000_000))
	}
	n.life++
	n.frozen, n.left, n.checked = false, false, false
	n.offset = time.Duration(w.random.IntN(1000)) * time.Second
	cfg := w.config
	cfg.Seeds = seeds
	cfg.Self = member.Info{ID: n.id, Address: name, Zone: n.zone, Incarnation: n.incarnation}
	n.machine = membership.New(cfg, w.clock(n))
	w.push(event{at: w.now + time.Duration(w.random.IntN(int(tickEvery))), to: name, life: n.life})
}

func (w *network) kill(name string) { w.nodes[name].machine = nil }

func (w *network) leave(name string) {
	n := w.nodes[name]
	n.left = true
	w.send(name, n.machine.Leave(w.clock(n)))
	w.check(name)
}

func (w *network) isolate(name string, cut bool) {
	for _, other := range w.names {
		w.cut[oneWay{name, other}] = cut
		w.cut[oneWay{other, name}] = cut
	}
}

func (w *network) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.queue, e)
}

func (w *network) send(from string, outbox []membership.Outbound) {
	for _, out := range outbox {
		if w.onSend != nil {
			w.onSend(from, out)
		}
		to := out.Address
		if to == "" {
			to = string(out.To)
		}
		if _, known := w.nodes[to]; !known || w.cut[oneWay{from, to}] || w.random.Float64() < w.loss {
			continue
		}
		w.deliverLater(from, to, out.Message)
		if w.random.Float64() < w.duplicates {
			w.deliverLater(from, to, out.Message)
		}
	}
}

func (w *network) deliverLater(from, to string, msg membership.Message) {
	at := w.now + w.latency + time.Duration(w.random.Int64N(int64(w.jitter)+1))
	w.push(event{at: at, to: to, from: from, message: &msg})
}

// runUntil handles all events up to the instant.
func (w *network) runUntil(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.handle(e)
	}
	w.now = until
}

func (w *network) handle(e event) {
	n := w.nodes[e.to]
	if e.message == nil {
		if n.machine != nil && e.life == n.life {
			w.push(event{at: w.now + tickEvery, to: e.to, life: e.life})
			if n.runs() {
				w.send(e.to, n.machine.Tick(w.clock(n)))
				w.check(e.to)
			}
		}
		return
	}
	if n.machine == nil || w.cut[oneWay{e.from, e.to}] {
		return
	}
	if n.frozen {
		// Frames wait in the socket until the process runs again.
		w.push(event{at: w.now + tickEvery, to: e.to, from: e.from, message: e.message})
		return
	}
	w.send(e.to, n.machine.Step(w.clock(n), *e.message))
	w.check(e.to)
}

func (w *network) serves(name string) bool {
	return w.nodes[name].serves(w)
}

func (n *node) serves(w *network) bool {
	return n.machine != nil && !n.machine.Fenced(w.clock(n))
}

// unchanged tells whether the table and the fence deadline are those of the last
// check. Then nobody has become certain of anything, and this node serves only if
// it did then.
func (n *node) unchanged() bool {
	table, deadline := n.machine.Digest(), n.machine.FenceDeadline()
	same := n.checked && table == n.checkedTable && deadline == n.checkedDeadline
	n.checked, n.checkedTable, n.checkedDeadline = true, table, deadline
	return same
}

// check compares what changed with everybody else: changed may have become
// certain of another's fence, or may have begun to serve.
func (w *network) check(changed string) {
	n := w.nodes[changed]
	if n.unchanged() {
		return
	}
	serves := w.serves(changed)
	for _, other := range w.all {
		if other.serves(w) {
			w.checkPair(n, other)
		}
		if serves {
			w.checkPair(other, n)
		}
	}
}

func (w *network) checkPair(o, s *node) {
	if o.machine == nil {
		return
	}
	incarnation, _ := s.machine.Incarnation(s.id)
	seen, _ := o.machine.Incarnation(s.id)
	certain := o.machine.CertainlyFenced(s.id) && seen == incarnation
	if certain || !w.clocksGoBack && o.machine.LifeEnded(s.id, incarnation) {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s is certain that %s@%d is fenced, but it serves", w.now, o.id, s.id, incarnation))
	}
}

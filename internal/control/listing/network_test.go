package listing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	tickEvery = 20 * time.Millisecond
	// stepEvery is the grain of the virtual clock.
	stepEvery = 2 * time.Millisecond
	// membersEvery is how often a node learns who is there.
	membersEvery = 100 * time.Millisecond
	// leastLatency and latencySpread bound one way between two nodes.
	leastLatency  = time.Millisecond
	latencySpread = 4 * time.Millisecond
	// readSpread bounds how long one reading takes.
	readSpread = 40 * time.Millisecond
	// suspectedAfter is when the others suspect a node that does not respond.
	suspectedAfter = 1200 * time.Millisecond
	// service is the only listed service.
	service = "chat"
)

var errPlatform = errors.New("the platform refuses")

// testNode is one node with its own clock.
type testNode struct {
	id      member.ID
	zone    string
	disk    bool
	machine *Machine
	// clockOffset is how much the clock is ahead of the world's.
	clockOffset time.Duration
	up          bool
	frozen      bool
	life        int
	next        time.Duration
	// nextMembers is when the node learns again who is there.
	nextMembers time.Duration
	silent      time.Duration
	waiting     []func()
	// failing makes the node's readings fail.
	failing bool
	// excluded are the replicas that the node excluded once, as their drain asks.
	excluded map[string]bool
}

type event struct {
	at  time.Duration
	run func()
}

// simulation is a deployment in virtual time.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	nodes  []*testNode
	events []event
	cut    map[[2]member.ID]bool
	// replicas is the platform's list, and drainingSince when it first showed each
	// replica draining or gone.
	replicas      []Replica
	drainingSince map[string]time.Duration
	calls         int
	bytes         int
	messages      int
	// loss is the share of messages that get lost.
	loss float64
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		random:        rand.New(rand.NewPCG(seed, 1)),
		cut:           map[[2]member.ID]bool{},
		drainingSince: map[string]time.Duration{},
	}
	for _, address := range []string{"x", "y", "z"} {
		w.replicas = append(w.replicas, Replica{Service: service, Address: address, Zone: "z1", Instance: "i-" + address, Slots: 8})
	}
	return w
}

func (w *simulation) add(id, zone string, disk bool) {
	added := &testNode{id: member.ID(id), zone: zone, disk: disk, clockOffset: w.upTo(1000 * time.Second)}
	w.nodes = append(w.nodes, added)
}

func (w *simulation) node(id string) *testNode {
	at := slices.IndexFunc(w.nodes, func(one *testNode) bool { return one.id == member.ID(id) })
	Expect(at).To(BeNumerically(">=", 0), id)
	return w.nodes[at]
}

func (w *simulation) upTo(bound time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(bound)))
}

func (w *simulation) clock(n *testNode) time.Duration { return w.now + n.clockOffset }

func (w *simulation) after(delay time.Duration, run func()) {
	w.events = append(w.events, event{at: w.now + delay, run: run})
}

func (w *simulation) start(n *testNode) {
	n.life++
	n.up = true
	n.frozen = false
	n.waiting = nil
	n.excluded = map[string]bool{}
	n.next = w.now
	n.nextMembers = w.now
	n.machine = New(Config{Self: n.id, Zone: n.zone}, w.clock(n))
}

func (w *simulation) kill(n *testNode) {
	n.up = false
	n.silent = w.now
}

// setReplica changes one entry of the platform's list.
func (w *simulation) setReplica(address string, change func(*Replica)) {
	at := slices.IndexFunc(w.replicas, func(one Replica) bool { return one.Address == address })
	w.replicas = slices.Clone(w.replicas)
	change(&w.replicas[at])
	if w.replicas[at].Draining {
		w.drainingSince[address] = w.now
	}
}

func (w *simulation) removeReplica(address string) {
	w.replicas = slices.DeleteFunc(slices.Clone(w.replicas), func(one Replica) bool { return one.Address == address })
	w.drainingSince[address] = w.now
}

func (w *simulation) runUntil(end time.Duration) {
	for ; w.now < end; w.now += stepEvery {
		due := lo.Filter(w.events, func(one event, _ int) bool { return one.at <= w.now })
		w.events = lo.Reject(w.events, func(one event, _ int) bool { return one.at <= w.now })
		for _, one := range due {
			one.run()
		}
		for _, one := range w.nodes {
			w.tick(one)
		}
	}
}

func (w *simulation) tick(n *testNode) {
	if !n.up || n.frozen || w.now < n.next {
		return
	}
	n.next = w.now + tickEvery
	if w.now >= n.nextMembers {
		n.nextMembers = w.now + membersEvery
		n.machine.SetMembers(w.membersSeenBy(n))
	}
	w.perform(n, n.machine.Tick(w.clock(n)))
}

// membersSeenBy are all nodes that ever started; those that have been silent for
// this node are suspects.
func (w *simulation) membersSeenBy(n *testNode) []Member {
	var members []Member
	for _, one := range w.nodes {
		if one.life == 0 {
			continue
		}
		gone := !one.up || one.frozen || w.cut[[2]member.ID{one.id, n.id}]
		members = append(members, Member{
			ID: one.id, Zone: one.zone, HasDisk: one.disk,
			Suspect: gone && w.now-one.silent >= suspectedAfter,
		})
	}
	return members
}

func (w *simulation) perform(n *testNode, output Output) {
	for _, out := range output.Sends {
		w.carry(n, out)
	}
	if output.Read {
		w.read(n)
	}
	for address := range w.drainingSince {
		if !admits(n, address) {
			n.excluded[address] = true
		}
	}
}

// admits reports whether a node would send to a replica.
func admits(n *testNode, address string) bool {
	return slices.ContainsFunc(n.machine.Replicas(), func(one Replica) bool { return one.Address == address && !one.Draining })
}

func (w *simulation) carry(n *testNode, out Outbound) {
	payload, err := out.Message.Encode()
	Expect(err).NotTo(HaveOccurred())
	w.bytes += len(payload)
	w.messages++
	if w.cut[[2]member.ID{n.id, out.To}] || w.random.Float64() < w.loss {
		return
	}
	to := w.node(string(out.To))
	life := to.life
	decode := DecodeReading
	if out.Message.Request != nil {
		decode = DecodeRequest
	}
	w.after(leastLatency+w.upTo(latencySpread), func() {
		if !to.up || to.life != life {
			return
		}
		w.whenAwake(to, func() {
			message, err := decode(payload)
			Expect(err).NotTo(HaveOccurred())
			w.perform(to, to.machine.Step(w.clock(to), n.id, message))
		})
	})
}

func (w *simulation) whenAwake(n *testNode, run func()) {
	if n.frozen {
		n.waiting = append(n.waiting, run)
		return
	}
	run()
}

func (w *simulation) wake(n *testNode) {
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// read reads the platform's list as it is somewhere on the way.
func (w *simulation) read(n *testNode) {
	w.calls++
	startedAt := w.clock(n)
	life := n.life
	half := w.upTo(readSpread / 2)
	w.after(half, func() {
		list := w.replicas
		failed := n.failing
		w.after(half, func() {
			if !n.up || n.life != life {
				return
			}
			w.whenAwake(n, func() {
				var err error
				if failed {
					err = errPlatform
				}
				w.perform(n, n.machine.ReadDone(w.clock(n), startedAt, list, err))
			})
		})
	})
}

// setPartitioned cuts a node from all others, or ends that.
func (w *simulation) setPartitioned(n *testNode, cut bool) {
	n.silent = w.now
	for _, other := range w.nodes {
		if other != n {
			w.cut[[2]member.ID{n.id, other.id}] = cut
			w.cut[[2]member.ID{other.id, n.id}] = cut
		}
	}
}

// reader returns a running node that reads, or nil.
func (w *simulation) reader() *testNode {
	for _, one := range w.nodes {
		if one.up && !one.frozen && one.machine.Reads() {
			return one
		}
	}
	return nil
}

func (w *simulation) readers() int {
	count := 0
	for _, one := range w.nodes {
		if one.up && !one.frozen && one.machine.Reads() {
			count++
		}
	}
	return count
}

// deployment adds and starts nodes over three zones.
func (w *simulation) deployment(disks, others int) {
	for number := range disks + others {
		kind := "f"
		if number < disks {
			kind = "d"
		}
		w.add(fmt.Sprintf("%s%d", kind, number), fmt.Sprintf("z%d", number%3+1), number < disks)
	}
	for _, one := range w.nodes {
		w.after(w.upTo(300*time.Millisecond), func() { w.start(one) })
	}
}

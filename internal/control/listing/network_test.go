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
	// stepEvery is the step of the virtual clock.
	stepEvery = 2 * time.Millisecond
	// membersEvery is how often the simulation updates a node's members.
	membersEvery = 100 * time.Millisecond
	// minLatency and latencySpread bound the one-way latency between two nodes.
	minLatency    = time.Millisecond
	latencySpread = 4 * time.Millisecond
	// readSpread is the upper bound of the duration of a reading.
	readSpread = 40 * time.Millisecond
	// suspectedAfter is how long a node must be silent before the others suspect it.
	suspectedAfter = 1200 * time.Millisecond
	// service is the only listed service.
	service = "chat"
)

var errPlatform = errors.New("the platform refuses the request")

// testNode is a node with a clock of its own.
type testNode struct {
	id      member.ID
	zone    string
	disk    bool
	machine *Machine
	// clockOffset is how far the node's clock is ahead of the virtual clock.
	clockOffset time.Duration
	up          bool
	frozen      bool
	incarnation int
	nextTick    time.Duration
	// nextMembersUpdate is when the simulation next updates the node's members.
	nextMembersUpdate time.Duration
	silentSince       time.Duration
	waiting           []func()
	// failing makes the node's readings fail.
	failing bool
	// excluded contains the draining and removed replicas that the node has stopped
	// admitting.
	excluded map[string]bool
}

type event struct {
	at  time.Duration
	run func()
}

// simulation runs a deployment in virtual time.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	nodes  []*testNode
	events []event
	cut    map[[2]member.ID]bool
	// replicas is the platform's list. drainingSince is when each replica began to drain
	// or was removed from it.
	replicas      []Replica
	drainingSince map[string]time.Duration
	calls         int
	bytes         int
	messages      int
	// loss is the probability that a message is lost.
	loss float64
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:        rand.New(rand.NewPCG(seed, 1)),
		cut:           map[[2]member.ID]bool{},
		drainingSince: map[string]time.Duration{},
	}
	for _, address := range []string{"x", "y", "z"} {
		s.replicas = append(s.replicas, Replica{Service: service, Address: address, Zone: "z1", Instance: "i-" + address, Slots: 8})
	}
	return s
}

func (s *simulation) add(id, zone string, disk bool) {
	added := &testNode{id: member.ID(id), zone: zone, disk: disk, clockOffset: s.randomDuration(1000 * time.Second)}
	s.nodes = append(s.nodes, added)
}

func (s *simulation) node(id string) *testNode {
	at := slices.IndexFunc(s.nodes, func(one *testNode) bool { return one.id == member.ID(id) })
	Expect(at).To(BeNumerically(">=", 0), id)
	return s.nodes[at]
}

func (s *simulation) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound)))
}

func (s *simulation) clock(n *testNode) time.Duration { return s.now + n.clockOffset }

func (s *simulation) after(delay time.Duration, run func()) {
	s.events = append(s.events, event{at: s.now + delay, run: run})
}

func (s *simulation) start(n *testNode) {
	n.incarnation++
	n.up = true
	n.frozen = false
	n.waiting = nil
	n.excluded = map[string]bool{}
	n.nextTick = s.now
	n.nextMembersUpdate = s.now
	n.machine = New(Config{Self: n.id, Zone: n.zone}, s.clock(n))
}

func (s *simulation) kill(n *testNode) {
	n.up = false
	n.silentSince = s.now
}

// setReplica changes one entry of the platform's list.
func (s *simulation) setReplica(address string, change func(*Replica)) {
	at := slices.IndexFunc(s.replicas, func(one Replica) bool { return one.Address == address })
	s.replicas = slices.Clone(s.replicas)
	change(&s.replicas[at])
	if s.replicas[at].Draining {
		s.drainingSince[address] = s.now
	}
}

func (s *simulation) removeReplica(address string) {
	s.replicas = slices.DeleteFunc(slices.Clone(s.replicas), func(one Replica) bool { return one.Address == address })
	s.drainingSince[address] = s.now
}

func (s *simulation) runUntil(end time.Duration) {
	for ; s.now < end; s.now += stepEvery {
		due := lo.Filter(s.events, func(one event, _ int) bool { return one.at <= s.now })
		s.events = lo.Reject(s.events, func(one event, _ int) bool { return one.at <= s.now })
		for _, one := range due {
			one.run()
		}
		for _, one := range s.nodes {
			s.tick(one)
		}
	}
}

func (s *simulation) tick(n *testNode) {
	if !n.up || n.frozen || s.now < n.nextTick {
		return
	}
	n.nextTick = s.now + tickEvery
	if s.now >= n.nextMembersUpdate {
		n.nextMembersUpdate = s.now + membersEvery
		n.machine.SetMembers(s.membersSeenBy(n))
	}
	s.perform(n, n.machine.Tick(s.clock(n)))
}

// membersSeenBy returns all nodes that have ever started. Nodes that n has not heard from
// for suspectedAfter are suspect.
func (s *simulation) membersSeenBy(n *testNode) []Member {
	var members []Member
	for _, one := range s.nodes {
		if one.incarnation == 0 {
			continue
		}
		gone := !one.up || one.frozen || s.cut[[2]member.ID{one.id, n.id}]
		members = append(members, Member{
			ID: one.id, Zone: one.zone, HasDisk: one.disk,
			Suspect: gone && s.now-one.silentSince >= suspectedAfter,
		})
	}
	return members
}

func (s *simulation) perform(n *testNode, output Output) {
	for _, out := range output.Sends {
		s.send(n, out)
	}
	if output.Read {
		s.read(n)
	}
	for address := range s.drainingSince {
		if !admits(n, address) {
			n.excluded[address] = true
		}
	}
}

// admits reports whether a node would send requests to a replica.
func admits(n *testNode, address string) bool {
	return slices.ContainsFunc(n.machine.Replicas(), func(one Replica) bool { return one.Address == address && !one.Draining })
}

func (s *simulation) send(n *testNode, out Outbound) {
	payload, err := out.Message.Encode()
	Expect(err).NotTo(HaveOccurred())
	s.bytes += len(payload)
	s.messages++
	if s.cut[[2]member.ID{n.id, out.To}] || s.random.Float64() < s.loss {
		return
	}
	to := s.node(string(out.To))
	incarnation := to.incarnation
	decode := DecodeReading
	if out.Message.Request != nil {
		decode = DecodeRequest
	}
	s.after(minLatency+s.randomDuration(latencySpread), func() {
		if !to.up || to.incarnation != incarnation {
			return
		}
		s.whenAwake(to, func() {
			message, err := decode(payload)
			Expect(err).NotTo(HaveOccurred())
			s.perform(to, to.machine.Step(s.clock(to), n.id, message))
		})
	})
}

func (s *simulation) whenAwake(n *testNode, run func()) {
	if n.frozen {
		n.waiting = append(n.waiting, run)
		return
	}
	run()
}

func (s *simulation) wake(n *testNode) {
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// read starts a reading. Its outcome is the platform's list as of halfway through the
// reading, or errPlatform if the node's readings failed at that time.
func (s *simulation) read(n *testNode) {
	s.calls++
	startedAt := s.clock(n)
	incarnation := n.incarnation
	half := s.randomDuration(readSpread / 2)
	s.after(half, func() {
		list := s.replicas
		failed := n.failing
		s.after(half, func() {
			if !n.up || n.incarnation != incarnation {
				return
			}
			s.whenAwake(n, func() {
				var err error
				if failed {
					err = errPlatform
				}
				s.perform(n, n.machine.ReadDone(s.clock(n), startedAt, list, err))
			})
		})
	})
}

// setPartitioned cuts a node off from all other nodes, or reconnects it.
func (s *simulation) setPartitioned(n *testNode, cut bool) {
	n.silentSince = s.now
	for _, other := range s.nodes {
		if other != n {
			s.cut[[2]member.ID{n.id, other.id}] = cut
			s.cut[[2]member.ID{other.id, n.id}] = cut
		}
	}
}

// reader returns the first running node that is the reader, or nil.
func (s *simulation) reader() *testNode {
	for _, one := range s.nodes {
		if one.up && !one.frozen && one.machine.IsReader() {
			return one
		}
	}
	return nil
}

func (s *simulation) readers() int {
	count := 0
	for _, one := range s.nodes {
		if one.up && !one.frozen && one.machine.IsReader() {
			count++
		}
	}
	return count
}

// deployment adds nodes in three zones and starts them: disks nodes with a disk, and others
// without.
func (s *simulation) deployment(disks, others int) {
	for number := range disks + others {
		kind := "f"
		if number < disks {
			kind = "d"
		}
		s.add(fmt.Sprintf("%s%d", kind, number), fmt.Sprintf("z%d", number%3+1), number < disks)
	}
	for _, one := range s.nodes {
		s.after(s.randomDuration(300*time.Millisecond), func() { s.start(one) })
	}
}

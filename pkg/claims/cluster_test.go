package claims_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/claims"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// retention is short, so that claims expire often during a spec.
const retention = 2 * time.Second

// tickInterval is the time between two ticks of a node.
const tickInterval = 10 * time.Millisecond

// packet is a message that was sent and has not been delivered yet. The field order breaks
// ties between packets that arrive at the same time.
type packet struct {
	at       time.Duration
	order    int
	from, to member.ID
	message  claims.Message
}

// packetQueue is a heap of packets, ordered by the time of their arrival.
type packetQueue []packet

func (q packetQueue) Len() int { return len(q) }
func (q packetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q packetQueue) Swap(i, j int)   { q[i], q[j] = q[j], q[i] }
func (q *packetQueue) Push(value any) { *q = append(*q, value.(packet)) }
func (q *packetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// submission is a request that was submitted to a node and not sent to a back end yet.
type submission struct {
	key     claims.Key
	number  claims.Number
	outcome claims.Outcome
	decided bool
	// sendAt is when the node sends the request to a back end, if the claim is still valid
	// then.
	sendAt time.Duration
}

// peer is a node of the cluster.
type peer struct {
	id          member.ID
	incarnation member.Incarnation
	machine     *claims.Machine
	submissions map[claims.Number]*submission
	frozenUntil time.Duration
	// inbox contains the packets that arrived while the node was frozen.
	inbox []packet
	// directoryIndex is the index in cluster.directories of the directory that the node
	// has adopted.
	directoryIndex int
}

// run is the execution of a request that was sent to a back end.
type run struct {
	node        *peer
	incarnation member.Incarnation
	number      claims.Number
	start       time.Duration
	end         time.Duration
	ended       bool
	// interrupted is true if the node was restarted or frozen during the run.
	interrupted bool
}

// cluster simulates a deployment in virtual time.
type cluster struct {
	now      time.Duration
	random   *rand.Rand
	inFlight packetQueue
	order    int
	peers    []*peer
	// loss and duplication are the probabilities that a message is lost or delivered
	// twice. The delay of a message is less than maxDelay.
	loss, duplication float64
	maxDelay          time.Duration
	// blocked contains pairs of nodes; messages from the first to the second are lost.
	blocked map[[2]member.ID]bool
	// directories contains all directories, oldest first. If the newest one has two sets,
	// oldSetRemovableAt is when a directory without the older set may follow; it is 0 until
	// all nodes have adopted the newest directory.
	directories       [][]claims.Set
	oldSetRemovableAt time.Duration
	runs              map[claims.Key][]*run
	outcomes          map[claims.Outcome]int
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 9)), maxDelay: 20 * time.Millisecond,
		blocked: map[[2]member.ID]bool{}, runs: map[claims.Key][]*run{}, outcomes: map[claims.Outcome]int{},
	}
	var members []member.ID
	for number := range size {
		id := member.ID(string(rune('a' + number)))
		members = append(members, id)
		c.peers = append(c.peers, &peer{id: id})
	}
	c.directories = [][]claims.Set{{{Epoch: 1, Members: members}}}
	for _, started := range c.peers {
		c.restart(started)
	}
	return c
}

// restart begins a new incarnation of a node. The runs in progress continue without the node:
// they are marked as interrupted, and their end is not recorded.
func (c *cluster) restart(p *peer) {
	p.incarnation++
	p.submissions = map[claims.Number]*submission{}
	p.inbox = nil
	p.frozenUntil = 0
	p.directoryIndex = len(c.directories) - 1
	p.machine = claims.New(claims.Config{Self: p.id, Incarnation: p.incarnation, Retention: retention}, c.now)
	p.machine.SetDirectory(c.directories[p.directoryIndex])
	for _, runs := range c.runs {
		for _, running := range runs {
			if running.node == p && !running.ended {
				running.interrupted = true
			}
		}
	}
}

func (c *cluster) send(from member.ID, out []claims.Outbound) {
	for _, message := range out {
		if c.random.Float64() < c.loss || c.blocked[[2]member.ID{from, message.To}] {
			continue
		}
		copies := 1
		if c.random.Float64() < c.duplication {
			copies = 2
		}
		for range copies {
			c.order++
			delay := time.Duration(c.random.Int64N(int64(c.maxDelay)))
			heap.Push(&c.inFlight, packet{at: c.now + delay, order: c.order, from: from, to: message.To, message: message.Message})
		}
	}
}

func (c *cluster) peer(id member.ID) *peer {
	return c.peers[slices.IndexFunc(c.peers, func(p *peer) bool { return p.id == id })]
}

// submit submits a request to a node, which claims its key.
func (c *cluster) submit(p *peer, key claims.Key) claims.Number {
	number, out, err := p.machine.Claim(c.now, key)
	Expect(err).NotTo(HaveOccurred())
	p.submissions[number] = &submission{key: key, number: number}
	c.send(p.id, out)
	c.collect(p)
	return number
}

// collect records the decisions of a node and schedules the requests whose claims it acquired.
func (c *cluster) collect(p *peer) {
	for _, decision := range p.machine.Decisions() {
		c.outcomes[decision.Outcome]++
		decided := p.submissions[decision.Number]
		decided.decided, decided.outcome = true, decision.Outcome
		decided.sendAt = c.now + time.Duration(c.random.Int64N(int64(50*time.Millisecond)))
		if decision.Outcome != claims.Acquired {
			delete(p.submissions, decision.Number)
		}
	}
}

// advance simulates the given duration in steps of tickInterval, and checks after each step
// that at most one submission of each request may be sent.
func (c *cluster) advance(duration time.Duration) {
	for until := c.now + duration; c.now < until; {
		c.now += tickInterval
		for c.inFlight.Len() > 0 && c.inFlight[0].at <= c.now {
			c.deliver(heap.Pop(&c.inFlight).(packet))
		}
		for _, p := range c.peers {
			if p.frozenUntil <= c.now {
				c.tick(p)
			}
		}
		c.advanceDirectories()
		c.checkAtMostOneMayRun()
	}
}

func (c *cluster) deliver(received packet) {
	p := c.peer(received.to)
	if p.frozenUntil > c.now {
		p.inbox = append(p.inbox, received)
		return
	}
	c.send(p.id, p.machine.Step(c.now, received.from, received.message))
	c.collect(p)
}

// tick performs the actions of a node at one step. The node sends due requests to back ends
// before it handles the messages that arrived while it was frozen, which is the order with
// the greatest risk of a second run.
func (c *cluster) tick(p *peer) {
	for _, number := range sortedNumbers(p.submissions) {
		if due := p.submissions[number]; due.decided && due.sendAt <= c.now {
			delete(p.submissions, number)
			c.start(p, due)
		}
	}
	for _, received := range p.inbox {
		c.send(p.id, p.machine.Step(c.now, received.from, received.message))
	}
	p.inbox = nil
	c.send(p.id, p.machine.Tick(c.now))
	c.collect(p)
	for _, running := range c.runningOn(p) {
		if running.end <= c.now {
			running.ended = true
			c.send(p.id, p.machine.End(c.now, running.number, true))
		}
	}
}

// start begins the run of a request if its claim is still valid, and releases the claim
// otherwise.
func (c *cluster) start(p *peer, due *submission) {
	if !p.machine.MayRun(c.now, due.number) {
		c.send(p.id, p.machine.End(c.now, due.number, false))
		return
	}
	duration := time.Duration(c.random.Int64N(int64(2 * retention)))
	started := &run{node: p, incarnation: p.incarnation, number: due.number, start: c.now, end: c.now + duration}
	c.runs[due.key] = append(c.runs[due.key], started)
}

func (c *cluster) runningOn(p *peer) []*run {
	var running []*run
	for _, runs := range c.runs {
		for _, candidate := range runs {
			if candidate.node == p && candidate.incarnation == p.incarnation && !candidate.ended {
				running = append(running, candidate)
			}
		}
	}
	slices.SortFunc(running, func(a, b *run) int { return int(a.number) - int(b.number) })
	return running
}

// freeze stops a node for a duration. Its runs are marked as interrupted.
func (c *cluster) freeze(p *peer, duration time.Duration) {
	p.frozenUntil = c.now + duration
	for _, running := range c.runningOn(p) {
		running.interrupted = true
	}
}

// changeDirectory begins to replace the set of the directory by one of the given members,
// unless a change is in progress.
func (c *cluster) changeDirectory(members []member.ID) {
	newest := c.directories[len(c.directories)-1]
	if len(newest) > 1 {
		return
	}
	next := claims.Set{Epoch: newest[0].Epoch + 1, Members: members}
	c.directories = append(c.directories, []claims.Set{newest[0], next})
	c.oldSetRemovableAt = 0
}

// advanceDirectories makes each node adopt the next directory after a random delay. It adds a
// directory without the older set once the retention has passed since all nodes adopted the
// directory with both sets.
func (c *cluster) advanceDirectories() {
	last := len(c.directories) - 1
	all := true
	for _, p := range c.peers {
		if p.directoryIndex < last && p.frozenUntil <= c.now && c.random.IntN(20) == 0 {
			p.directoryIndex++
			p.machine.SetDirectory(c.directories[p.directoryIndex])
		}
		all = all && p.directoryIndex == last
	}
	newest := c.directories[last]
	if !all || len(newest) == 1 {
		return
	}
	if c.oldSetRemovableAt == 0 {
		c.oldSetRemovableAt = c.now + retention
	}
	if c.now >= c.oldSetRemovableAt {
		c.directories = append(c.directories, newest[1:])
	}
}

// checkAtMostOneMayRun checks that at most one of the submissions of each request may be sent
// to a back end.
func (c *cluster) checkAtMostOneMayRun() {
	claimants := map[claims.Key]member.ID{}
	for _, p := range c.peers {
		for _, submitted := range p.submissions {
			if !p.machine.MayRun(c.now, submitted.number) {
				continue
			}
			Expect(claimants).NotTo(HaveKey(submitted.key), "two claims of one key are valid at %v", c.now)
			claimants[submitted.key] = p.id
		}
	}
}

// checkRuns checks that successive runs of each request neither overlap nor follow each other
// too soon, unless the earlier run was interrupted, and that they never start together. It
// returns the number of runs that repeat a request.
func (c *cluster) checkRuns() (repeated int) {
	for _, runs := range c.runs {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			Expect(after.start-before.start).To(BeNumerically(">", retention/8), "two runs of a request started nearly together")
			if !before.interrupted {
				Expect(before.ended).To(BeTrue(), "a run started before the earlier one had ended")
				Expect(after.start-before.end).To(BeNumerically(">=", retention/4), "a run started too soon after the earlier one ended")
			}
			repeated++
		}
	}
	return repeated
}

func sortedNumbers(submissions map[claims.Number]*submission) []claims.Number {
	numbers := make([]claims.Number, 0, len(submissions))
	for number := range submissions {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

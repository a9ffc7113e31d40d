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

// retention is short, so that it passes often.
const retention = 2 * time.Second

// tickInterval is how often nodes tick.
const tickInterval = 10 * time.Millisecond

// packet is a message on its way.
type packet struct {
	at       time.Duration
	order    int
	from, to member.ID
	message  claims.Message
}

type packetQueue []packet

func (w packetQueue) Len() int { return len(w) }
func (w packetQueue) Less(i, j int) bool {
	return w[i].at < w[j].at || w[i].at == w[j].at && w[i].order < w[j].order
}
func (w packetQueue) Swap(i, j int)   { w[i], w[j] = w[j], w[i] }
func (w *packetQueue) Push(value any) { *w = append(*w, value.(packet)) }
func (w *packetQueue) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// submission is a request in the hands of a node.
type submission struct {
	key     claims.Key
	number  claims.Number
	outcome claims.Outcome
	decided bool
	// sendAt is when the node is about to send it to a back end.
	sendAt time.Duration
}

// peer is a node of the cluster.
type peer struct {
	id          member.ID
	incarnation member.Incarnation
	machine     *claims.Machine
	submissions map[claims.Number]*submission
	frozenUntil time.Duration
	// inbox has what arrives while the node is frozen.
	inbox []packet
	// directoryIndex is how many directories the node has followed.
	directoryIndex int
}

// run is a request that was sent to a back end.
type run struct {
	node        *peer
	incarnation member.Incarnation
	number      claims.Number
	start       time.Duration
	end         time.Duration
	ended       bool
	// interrupted tells that the node was restarted or frozen meanwhile.
	interrupted bool
}

// cluster is a deployment in virtual time.
type cluster struct {
	now      time.Duration
	random   *rand.Rand
	inFlight packetQueue
	order    int
	peers    []*peer
	// loss and duplication are the chances of a fault of a message; it takes less than
	// maxDelay.
	loss, duplication float64
	maxDelay          time.Duration
	// blocked are pairs of nodes of which the first does not reach the second.
	blocked map[[2]member.ID]bool
	// directories are the directories in their order; oldSetRemovableAt is when the last
	// one may be followed by one without the older set.
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

// restart begins a new incarnation of a node. Its runs go on without it.
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

// submit hands a request to a node.
func (c *cluster) submit(p *peer, key claims.Key) claims.Number {
	number, out, err := p.machine.Claim(c.now, key)
	Expect(err).NotTo(HaveOccurred())
	p.submissions[number] = &submission{key: key, number: number}
	c.send(p.id, out)
	c.collect(p)
	return number
}

// collect records a node's decisions.
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

// advance lets time pass.
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

// tick is what a node does at each step. One that wakes sends before it reads what has
// arrived in the meantime, which is the worst that it can do.
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

// start sends a request to a back end if its claim is still valid.
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

// freeze stops a node for a time.
func (c *cluster) freeze(p *peer, duration time.Duration) {
	p.frozenUntil = c.now + duration
	for _, running := range c.runningOn(p) {
		running.interrupted = true
	}
}

// changeDirectory begins to replace the set, unless a change is in progress.
func (c *cluster) changeDirectory(members []member.ID) {
	newest := c.directories[len(c.directories)-1]
	if len(newest) > 1 {
		return
	}
	next := claims.Set{Epoch: newest[0].Epoch + 1, Members: members}
	c.directories = append(c.directories, []claims.Set{newest[0], next})
	c.oldSetRemovableAt = 0
}

// advanceDirectories lets nodes adopt directories late, and leaves the old set out
// when all have adopted the new one and enough time has passed.
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

// checkAtMostOneMayRun checks that no two nodes may send the same request.
func (c *cluster) checkAtMostOneMayRun() {
	claimants := map[claims.Key]member.ID{}
	for _, p := range c.peers {
		for _, submitted := range p.submissions {
			if !p.machine.MayRun(c.now, submitted.number) {
				continue
			}
			Expect(claimants).NotTo(HaveKey(submitted.key), "two claims are valid at %v", c.now)
			claimants[submitted.key] = p.id
		}
	}
}

// checkRuns checks how far apart two runs of one request are.
func (c *cluster) checkRuns() (repeated int) {
	for _, runs := range c.runs {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			Expect(after.start-before.start).To(BeNumerically(">", retention/8), "runs that begin together")
			if !before.interrupted {
				Expect(before.ended).To(BeTrue(), "a run beside a run that goes on")
				Expect(after.start-before.end).To(BeNumerically(">=", retention/4), "a run soon after another")
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

package claims_test

import (
	"container/heap"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/timelinetest"
	"github.com/ridgeswitch/ridgeswitch/pkg/claims"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Columns of the timelines in testdata are nodes. Homes remember a claim for 2 s, and grant
// no new claims for 2.25 s after a start. These steps change something:
//
//	claim(k)     the node claims the key k
//	end(k)       the node ends its newest claim of k, and the request may have run
//	unrun(k)     the node ends its newest claim of k, and the request has not run
//	restart      the node restarts
//	freeze       the node is frozen
//	wake         the node is no longer frozen, and handles the messages that have arrived
//	block(b)     messages from the node to b are lost from now on
//	unblock(b)   messages from the node to b are delivered again
//	adopt(1 2)   the node adopts the directory of the sets of these epochs
//
// These steps check the node's newest claim of k:
//
//	acquired(k), claimed(k), undecided(k)   the outcome
//	pending(k)                              there is no outcome yet
//	may(k), maynot(k)                       whether the request may be sent to a back end
var _ = Describe("timelines", func() {
	for _, text := range lo.Must(timelinetest.ReadAll("testdata")) {
		It(text.Name, func() { runTimeline(text) })
	}
})

// timeline runs the steps of a timeline on a cluster whose network loses messages only
// between blocked pairs of nodes.
type timeline struct {
	*cluster
	columns []string
	// newest contains the newest claim of each node and key, with the key node/key. The
	// field decided contains the outcomes of claims, with the key that claimName returns.
	newest  map[string]claims.Number
	decided map[string]claims.Outcome
}

func runTimeline(text timelinetest.Timeline) {
	execution := &timeline{
		cluster: newCluster(1, len(text.Columns)), columns: text.Columns,
		newest: map[string]claims.Number{}, decided: map[string]claims.Outcome{},
	}
	for i, column := range text.Columns {
		Expect(column).To(Equal(string(execution.peers[i].id)), "the columns must be named a, b and so on")
	}
	for _, instant := range text.Instants {
		execution.runUntil(instant.At)
		for _, step := range instant.Steps {
			execution.perform(step)
		}
	}
}

// runUntil delivers messages and ticks the nodes until the given time.
func (l *timeline) runUntil(at time.Duration) {
	for l.now < at {
		l.now += tickInterval
		for l.inFlight.Len() > 0 && l.inFlight[0].at <= l.now {
			next := heap.Pop(&l.inFlight).(packet)
			l.receive(next)
		}
		for _, p := range l.peers {
			if p.frozenUntil <= l.now {
				l.send(p.id, p.machine.Tick(l.now))
				l.recordDecisions(p)
			}
		}
	}
}

func (l *timeline) receive(received packet) {
	p := l.peer(received.to)
	if p.frozenUntil > l.now {
		p.inbox = append(p.inbox, received)
		return
	}
	l.send(p.id, p.machine.Step(l.now, received.from, received.message))
	l.recordDecisions(p)
}

// recordDecisions records the decisions of a node.
func (l *timeline) recordDecisions(p *peer) {
	for _, decision := range p.machine.Decisions() {
		l.decided[claimName(p, decision.Number)] = decision.Outcome
	}
}

func claimName(p *peer, number claims.Number) string {
	return string(p.id) + "/" + strconv.FormatUint(uint64(p.incarnation), 10) + "/" + strconv.FormatUint(uint64(number), 10)
}

func (l *timeline) perform(step timelinetest.Step) {
	p := l.peers[step.Column]
	if !l.act(p, step.Verb, step.Argument) {
		l.check(p, step.Verb, step.Argument, step.Where)
	}
}

func (l *timeline) act(p *peer, verb, argument string) bool {
	nodeAndKey := string(p.id) + "/" + argument
	link := [2]member.ID{p.id, member.ID(argument)}
	switch verb {
	case "claim":
		number, out, err := p.machine.Claim(l.now, claims.KeyOf("court", argument))
		Expect(err).NotTo(HaveOccurred())
		l.newest[nodeAndKey] = number
		l.send(p.id, out)
		l.recordDecisions(p)
	case "end", "unrun":
		l.send(p.id, p.machine.End(l.now, l.newest[nodeAndKey], verb == "end"))
	case "restart":
		l.restart(p)
	case "freeze":
		p.frozenUntil = time.Hour
	case "wake":
		p.frozenUntil = 0
		received := p.inbox
		p.inbox = nil
		for _, message := range received {
			l.receive(message)
		}
	case "block":
		l.blocked[link] = true
	case "unblock":
		delete(l.blocked, link)
	case "adopt":
		p.machine.SetDirectory(setsOf(l.columns, argument))
	default:
		return false
	}
	return true
}

// setsOf returns the sets of the given epochs. The set of epoch n contains all nodes except
// the first n-1, so that of epoch 1 contains all nodes.
func setsOf(columns []string, epochs string) []claims.Set {
	var sets []claims.Set
	for _, text := range strings.Fields(epochs) {
		epoch, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred())
		set := claims.Set{Epoch: uint64(epoch)}
		for _, name := range columns[epoch-1:] {
			set.Members = append(set.Members, member.ID(name))
		}
		sets = append(sets, set)
	}
	return sets
}

func (l *timeline) check(p *peer, verb, key, where string) {
	number := l.newest[string(p.id)+"/"+key]
	outcome, decided := l.decided[claimName(p, number)]
	switch verb {
	case "may":
		Expect(p.machine.MayRun(l.now, number)).To(BeTrue(), where)
	case "maynot":
		Expect(p.machine.MayRun(l.now, number)).To(BeFalse(), where)
	case "pending":
		Expect(decided).To(BeFalse(), where)
	default:
		Expect(decided).To(BeTrue(), where)
		Expect(outcome.String()).To(Equal(verb), where)
	}
}

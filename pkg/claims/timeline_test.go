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

// Columns of the timelines in testdata are nodes. Homes remember for 2s, and grant nothing
// for 2.25s after a start. A step acts (claim(k), end(k): it may have run, unrun(k): it has
// not, restart, freeze, wake, block(b): nothing from here reaches b, unblock(b),
// adopt(1 2): the sets of these epochs agree) or checks the outcome of the node's
// newest claim of k (acquired(k), claimed(k), undecided(k), pending(k)) and whether its
// request may be sent (may(k), maynot(k)).
var _ = Describe("timelines", func() {
	for _, text := range lo.Must(timelinetest.ReadAll("testdata")) {
		It(text.Name, func() { runTimeline(text) })
	}
})

// timeline is a cluster whose network loses nothing.
type timeline struct {
	*cluster
	columns []string
	// newest are the claims of a node and key; decided are their outcomes.
	newest  map[string]claims.Number
	decided map[string]claims.Outcome
}

func runTimeline(text timelinetest.Timeline) {
	execution := &timeline{
		cluster: newCluster(1, len(text.Columns)), columns: text.Columns,
		newest: map[string]claims.Number{}, decided: map[string]claims.Outcome{},
	}
	for i, column := range text.Columns {
		Expect(column).To(Equal(string(execution.peers[i].id)), "columns are a, b and so on")
	}
	for _, instant := range text.Instants {
		execution.runUntil(instant.At)
		for _, step := range instant.Steps {
			execution.perform(step)
		}
	}
}

// runUntil lets messages arrive and nodes tick.
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

// recordDecisions records a node's decisions.
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

// setsOf returns the sets of some epochs. That of epoch 1 has all nodes; each
// later one leaves one more of the first nodes out.
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

package shared

import (
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// changesATick bounds the changes that are sent to those who ask in one tick,
	// so that an answer takes a share of a small link. A change takes 24 bytes.
	changesATick = 1024
	// mostAskers bounds the nodes that are answered at a time.
	mostAskers = 16
)

// Answers is the other side of Adoption: it hands what this node knows to nodes
// that have asked, a piece a tick. It does no I/O and is not safe for concurrent
// use.
type Answers struct {
	self   member.ID
	askers []asker
}

// asker is a node that has asked, with the addresses of back ends that it is still
// to be told of.
type asker struct {
	id   member.ID
	left []string
}

// NewAnswers returns the answers of a node.
func NewAnswers(self member.ID) *Answers { return &Answers{self: self} }

// Asked notes that a node wants to know what is kept at the addresses. One that
// asks again is told from the beginning.
func (a *Answers) Asked(by member.ID, addresses []string) {
	a.askers = slices.DeleteFunc(a.askers, func(known asker) bool { return known.id == by })
	if len(a.askers) < mostAskers {
		a.askers = append(a.askers, asker{id: by, left: addresses})
	}
}

// Tick returns what is due, given the live nodes and what is known of a back end
// now. Who is not live any more is told nothing.
func (a *Answers) Tick(live []member.Info, snapshot func(address string) (Report, bool)) []Outbound {
	var due []Outbound
	budget := changesATick
	a.askers = lo.Filter(a.askers, func(waiting asker, _ int) bool {
		return lo.ContainsBy(live, func(node member.Info) bool { return node.ID == waiting.id })
	})
	for len(a.askers) > 0 && budget > 0 {
		first := &a.askers[0]
		var reports []Report
		reports, first.left, budget = gather(first.left, budget, snapshot)
		batch := Batch{Stage: Answering, News: []News{{Node: a.self, Reports: reports}}}
		if len(first.left) == 0 {
			batch.Stage = Answered
		}
		to, _ := lo.Find(live, func(node member.Info) bool { return node.ID == first.id })
		due = append(due, Outbound{To: []member.Info{to}, Batch: batch})
		if batch.Stage == Answered {
			a.askers = a.askers[1:]
		}
	}
	return due
}

// gather takes snapshots of back ends until the budget is spent.
func gather(addresses []string, budget int, snapshot func(address string) (Report, bool)) (reports []Report, left []string, rest int) {
	for budget > 0 && len(addresses) > 0 {
		report, known := snapshot(addresses[0])
		addresses = addresses[1:]
		if known {
			reports = append(reports, report)
			budget -= 1 + len(report.Changes)
		}
	}
	return reports, addresses, budget
}

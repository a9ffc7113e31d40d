package dataplane

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// adopting lets a node that has started learn from another one what back ends
// keep, and answers those that ask this node.
type adopting struct {
	router *kvrouter.Router

	mutex    sync.Mutex
	adoption *shared.Adoption
	answers  *shared.Answers
}

func newAdopting(options Options, router *kvrouter.Router) *adopting {
	return &adopting{
		router:   router,
		adoption: shared.NewAdoption(options.Member, options.Zone),
		answers:  shared.NewAnswers(options.Member),
	}
}

// over tells whether this node has learnt what it could from others.
func (a *adopting) over(now time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.adoption.Over(now)
}

// tick returns the question and the answers that are due.
func (a *adopting) tick(now time.Duration, live []member.Info) []shared.Outbound {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append(a.adoption.Tick(now, live), a.answers.Tick(live, a.snapshot)...)
}

// asked notes a node's question. Who has not adopted yet itself answers that it
// knows nothing.
func (a *adopting) asked(now time.Duration, by member.ID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.adoption.Over(now) {
		a.answers.Asked(by, nil)
		return
	}
	a.answers.Asked(by, a.router.Addresses())
}

// answered takes in a part of an answer.
func (a *adopting) answered(now time.Duration, stage shared.Stage, news shared.News) {
	a.mutex.Lock()
	current := a.adoption.Heard(now, stage, news)
	a.mutex.Unlock()
	if !current {
		return
	}
	for _, report := range news.Reports {
		a.router.AdoptChunks(now, report.Address, report.Feed, partChanges(report.Changes))
	}
}

// snapshot is what this node knows of a back end, as it is told to others.
func (a *adopting) snapshot(address string) (shared.Report, bool) {
	at, parts, known := a.router.ChunksSnapshot(address)
	if !known {
		return shared.Report{}, false
	}
	changes := lo.Map(parts, func(part kvrouter.ChunkChange, _ int) shared.Change {
		return shared.Change{Name: part.Hash, Tokens: part.Tokens}
	})
	return shared.Report{Address: address, Feed: at, Whole: true, Changes: changes}, true
}

// Adopt returns what this node is to ask others, or to answer them, now.
func (s *Server) Adopt(live []member.Info) []shared.Outbound {
	return s.adopting.tick(s.options.Clock(), live)
}

// Learning tells whether another node is asked, or is telling, what back ends keep.
// It is false some seconds after the start in any case.
func (s *Server) Learning() bool {
	s.adopting.mutex.Lock()
	defer s.adopting.mutex.Unlock()
	return s.adopting.adoption.Waiting(s.options.Clock())
}

// TakeDirect takes in a question or an answer of another node.
func (s *Server) TakeDirect(batch shared.Batch) {
	now := s.options.Clock()
	for _, news := range batch.News {
		if batch.Stage == shared.Asking {
			s.adopting.asked(now, news.Node)
			continue
		}
		s.adopting.answered(now, batch.Stage, news)
	}
	s.lookWarm()
}

package dataplane

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

const (
	// loadRefresh is how long a load that has not changed is not told again. It
	// is half the time for which others believe it.
	loadRefresh = 500 * time.Millisecond
	// maxHeldNews bounds the dispatches, and the pages of reports, that wait to
	// be told; what is beyond it is not told.
	maxHeldNews = 1024
)

// toldLoad is the load of a replica as the others were told it last.
type toldLoad struct {
	load kvrouter.SharedLoad
	at   time.Duration
}

// sharing gathers what this node tells the others of its traffic.
type sharing struct {
	mutex      sync.Mutex
	told       map[string]toldLoad
	dispatches []shared.Dispatch
	reports    []shared.Report
	denials    []shared.Denial
}

// newSharing returns a sharing that has nothing to tell.
func newSharing() *sharing {
	return &sharing{told: make(map[string]toldLoad)}
}

// dispatched notes a request that was sent to a replica.
func (s *sharing) dispatched(dispatch shared.Dispatch) { hold(s, &s.dispatches, dispatch) }

// reported notes a page of reports that this node has read.
func (s *sharing) reported(report shared.Report) { hold(s, &s.reports, report) }

// denied notes an incarnation that was found to be gone from its address.
func (s *sharing) denied(denial shared.Denial) { hold(s, &s.denials, denial) }

// hold keeps a piece of news until it is taken; beyond maxHeldNews it is lost.
func hold[T any](s *sharing, held *[]T, news T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(*held) < maxHeldNews {
		*held = append(*held, news)
	}
}

// take returns what is to be told now, given the present loads.
func (s *sharing) take(now time.Duration, loads []kvrouter.AddressLoad) shared.News {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	news := shared.News{Dispatches: s.dispatches, Reports: s.reports, Denials: s.denials}
	s.dispatches, s.reports, s.denials = nil, nil, nil
	for _, load := range loads {
		if s.worthTelling(now, load) {
			news.Loads = append(news.Loads, load)
		}
	}
	return news
}

// worthTelling tells whether the others believe another load, or would cease to
// believe this one. That a prompt is read further, and that an answer grows, they
// expect by themselves. The lock is held.
func (s *sharing) worthTelling(now time.Duration, load kvrouter.AddressLoad) bool {
	told, known := s.told[load.Address]
	idle := load.SharedLoad.Requests == 0
	if known && sameWork(told.load, load.SharedLoad) && (idle || now-told.at < loadRefresh) {
		return false
	}
	if idle {
		delete(s.told, load.Address)
		return known
	}
	s.told[load.Address] = toldLoad{load: load.SharedLoad, at: now}
	return true
}

// sameWork tells whether two loads of one replica are the same requests, of which none
// has come, ended, or begun to answer between them.
func sameWork(told, present kvrouter.SharedLoad) bool {
	reads := func(load kvrouter.SharedLoad) bool {
		return lo.SomeBy(load.PrefillTokens[:], func(tokens float64) bool { return tokens > 0 })
	}
	return told.Requests == present.Requests && reads(told) == reads(present)
}

// News returns what this node has to tell the others of its traffic since the
// last call.
func (s *Server) News() shared.News {
	now := s.options.Clock()
	s.health.sweep(now)
	news := s.sharing.take(now, s.router.LocalLoads(now))
	news.Outcomes = s.health.TakeReports(now)
	return news
}

// TakeNews takes in what another node has told.
func (s *Server) TakeNews(news shared.News) {
	now := s.options.Clock()
	for _, load := range news.Loads {
		s.router.SetRemoteLoad(now, string(news.Node), load.Address, load.SharedLoad)
	}
	for _, dispatch := range news.Dispatches {
		s.router.ObserveDispatchLinks(now, dispatch.Address, dispatch.Links)
	}
	for _, report := range news.Reports {
		s.takeReport(now, report)
	}
	for _, denial := range news.Denials {
		s.outdated.denied(denial)
	}
	s.health.takeOutcomes(now, news)
}

// wrongTarget enters that a listed back end said that a request was for another
// one, and tells the others if that holds for good.
func (s *Server) wrongTarget(listed routing.Replica, refusal *outbound.RefusedError) {
	if s.outdated.refused(s.options.Clock(), listed, refusal.Instance) {
		s.sharing.denied(shared.Denial{Address: listed.Address, Instance: listed.Instance})
	}
}

// takeReport brings a page of reports into the index.
func (s *Server) takeReport(now time.Duration, report shared.Report) kvrouter.FeedStatus {
	defer s.lookWarm()
	changes := partChanges(report.Changes)
	if report.Whole {
		return s.router.ChunksReplaced(now, report.Address, report.Feed.Incarnation, report.Feed.Next, changes)
	}
	return s.router.ChunksReported(now, report.Address, report.Feed, changes)
}

// partChanges are changes as the router takes them.
func partChanges(told []shared.Change) []kvrouter.ChunkChange {
	return lo.Map(told, func(change shared.Change, _ int) kvrouter.ChunkChange {
		return kvrouter.ChunkChange{
			Sequence: change.Sequence,
			Hash:     change.Name,
			Tokens:   change.Tokens,
			Removed:  change.Removed,
		}
	})
}

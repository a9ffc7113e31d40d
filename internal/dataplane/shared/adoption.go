package shared

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// answerPatience is how long an asked node may be silent.
	answerPatience = time.Second
	// mostAsked bounds the nodes that are asked in turn, since some may have
	// started lately themselves.
	mostAsked = 6
	// peersKnownAfter is when a node that has started knows the others, if there
	// are any.
	peersKnownAfter = 1500 * time.Millisecond
	// longestAdoption ends the asking in any case.
	longestAdoption = 5 * time.Second
)

// Adoption is how a node that has started takes over what another node knows of
// the parts that back ends keep: it asks the live nodes one after the other, those
// of its own zone first, until one has answered with something. It does no I/O and
// reads no clock, and is not safe for concurrent use.
type Adoption struct {
	self member.ID
	zone string

	begun   bool
	startAt time.Duration
	over    bool
	// asked are the nodes that were asked, and the last of them is asked now.
	asked []member.ID
	// heardAt is when that one was asked, or sent a part of its answer.
	heardAt time.Duration
	// learnt tells that it knows something.
	learnt bool
}

// NewAdoption returns the adoption of a node in a zone.
func NewAdoption(self member.ID, zone string) *Adoption {
	return &Adoption{self: self, zone: zone}
}

// Over tells, at a time, whether nothing more is to be waited for.
func (a *Adoption) Over(now time.Duration) bool {
	a.begin(now)
	if now-a.startAt >= longestAdoption {
		a.over = true
	}
	return a.over
}

// Tick returns the question that is due, if there is one, given the live nodes.
func (a *Adoption) Tick(now time.Duration, live []member.Info) []Outbound {
	if a.Over(now) || a.waits(now) {
		return nil
	}
	next, found := a.next(live)
	if !found {
		a.over = now-a.startAt >= peersKnownAfter
		return nil
	}
	a.asked = append(a.asked, next.ID)
	a.heardAt = now
	a.learnt = false
	return []Outbound{{To: []member.Info{next}, Batch: Batch{Stage: Asking, News: []News{{Node: a.self}}}}}
}

// Heard takes in a part of an answer, or its end. Current is false for an answer
// that is not waited for.
func (a *Adoption) Heard(now time.Duration, stage Stage, news News) (current bool) {
	if a.over || len(a.asked) == 0 || news.Node != a.asked[len(a.asked)-1] {
		return false
	}
	a.heardAt = now
	a.learnt = a.learnt || len(news.Reports) > 0
	if stage == Answered {
		a.over = a.learnt
		a.heardAt = now - answerPatience
	}
	return true
}

// Waiting tells whether an answer that has been asked for may still come, or goes
// on.
func (a *Adoption) Waiting(now time.Duration) bool { return !a.Over(now) && a.waits(now) }

func (a *Adoption) begin(now time.Duration) {
	if !a.begun {
		a.begun = true
		a.startAt = now
	}
}

// waits tells whether the node that was asked last may still answer.
func (a *Adoption) waits(now time.Duration) bool {
	return len(a.asked) > 0 && now-a.heardAt < answerPatience
}

// next returns the node to ask now: one in the zone before any other, and then in
// an order of this node's own, so that nodes that start together ask different
// ones.
func (a *Adoption) next(live []member.Info) (member.Info, bool) {
	candidates := lo.Filter(live, func(node member.Info, _ int) bool {
		return node.ID != a.self && servesCallers(node) && !slices.Contains(a.asked, node.ID)
	})
	if len(candidates) == 0 || len(a.asked) >= mostAsked {
		return member.Info{}, false
	}
	return slices.MinFunc(candidates, func(one, other member.Info) int {
		return cmp.Or(
			cmp.Compare(a.distance(one), a.distance(other)),
			cmp.Compare(a.weight(one), a.weight(other)),
			cmp.Compare(one.ID, other.ID),
		)
	}), true
}

// distance is 0 for a node in the zone, and 1 for any other.
func (a *Adoption) distance(node member.Info) int {
	if node.Zone == a.zone {
		return 0
	}
	return 1
}

// weight orders the other nodes for this one.
func (a *Adoption) weight(node member.Info) uint64 {
	return xxhash.Sum64String("adoption\x00" + string(a.self) + "\x00" + string(node.ID))
}

package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// webBackend runs attempts on the back ends of web services.
type webBackend struct {
	server *Server
	edge   BackendEdge
	// turn rotates the choice among equally loaded back ends.
	turn atomic.Uint64
}

// newWebBackend returns the backend of all web services.
func newWebBackend(server *Server) *webBackend {
	return &webBackend{server: server, edge: server.options.Edges.WebServices}
}

// webTarget is a back end chosen for one attempt.
type webTarget struct {
	backend *webBackend
	chosen  routing.Replica
	limits  *ridgeswitchv1.BackendLimits
}

// choose implements backend: the fewest attempts in flight win. Back ends that
// failed lately are avoided as long as there are others.
func (b *webBackend) choose(w *work) (target, *caller.Problem) {
	service := b.newestService(w)
	if service == nil {
		return nil, noWebBackendProblem().After(b.server.options.BackendRetry)
	}
	now := b.server.options.Clock()
	var chosen routing.Replica
	found := false
	choose(b.server.health, now, w, func(exclude func(string) bool) selected {
		chosen, found = b.leastInFlight(service, func(listed routing.Replica) bool {
			return b.server.outdated.holds(now, listed) || b.tooCold(now, service, listed) || exclude(listed.Address)
		})
		if !found {
			return foundNone
		}
		return foundOne
	})
	if !found {
		return nil, noWebBackendProblem().After(b.server.options.BackendRetry)
	}
	return &webTarget{backend: b, chosen: chosen, limits: service.Config.GetBackends()}, nil
}

// tooCold tells whether a back end is cold and bears no more requests now.
func (b *webBackend) tooCold(now time.Duration, service *routing.WebService, listed routing.Replica) bool {
	return now < listed.ColdUntil && !b.server.cold.allowed(now, service.Config.GetBackends(), listed.Address)
}

// newestService returns the work's service in the newest view, or nil.
func (b *webBackend) newestService(w *work) *routing.WebService {
	view := b.server.options.Source.View()
	if view == nil {
		return nil
	}
	b.server.health.follow(view)
	return view.WebServices[w.destination.WebService.Config.GetName()]
}

// leastInFlight returns the admitting back end with the fewest attempts.
func (b *webBackend) leastInFlight(service *routing.WebService, exclude func(routing.Replica) bool) (routing.Replica, bool) {
	best, bestCount, found := routing.Replica{}, 0, false
	total := uint64(len(service.Replicas))
	turn := b.turn.Add(1)
	for offset := range total {
		listed := service.Replicas[(turn+offset)%total]
		if !listed.Admitting || exclude(listed) {
			continue
		}
		count := b.server.inFlight.of(listed.Address)
		if !found || count < bestCount {
			best, bestCount, found = listed, count, true
		}
	}
	return best, found
}

// noWebBackendProblem tells that no back end admits requests.
func noWebBackendProblem() *caller.Problem {
	return caller.NewProblem(caller.KindNoBackend,
		"no back end of the web service takes requests: send the request again")
}

// address implements target.
func (t *webTarget) address() string {
	return t.chosen.Address
}

// await implements target.
func (t *webTarget) await(*work) {}

// current implements target.
func (t *webTarget) current(w *work) bool {
	service := t.backend.newestService(w)
	if service == nil {
		return false
	}
	for _, listed := range service.Replicas {
		if listed.Address == t.chosen.Address {
			return listed.Admitting && listed.Instance == t.chosen.Instance
		}
	}
	return false
}

// takeCold implements target.
func (t *webTarget) takeCold() bool {
	server := t.backend.server
	return server.cold.take(server.options.Clock(), t.limits, t.chosen)
}

// send implements target.
func (t *webTarget) send(ctx context.Context, w *work, attempt int) (Answer, error) {
	described := w.attempt(t.backend.server, t.chosen.Address, attempt)
	described.Instance = t.chosen.Instance
	return t.backend.edge.Send(ctx, described)
}

// refused implements target.
func (t *webTarget) refused(refusal *outbound.RefusedError) {
	if !refusal.WrongTarget {
		return
	}
	t.backend.server.wrongTarget(t.chosen, refusal)
}

// hasRoom implements target. What the other nodes have sent is not known; if the
// back ends are full, all refuse.
func (t *webTarget) hasRoom() bool {
	return t.backend.server.inFlight.of(t.chosen.Address) < t.chosen.Slots
}

// expectedDelay implements target.
func (t *webTarget) expectedDelay() time.Duration { return 0 }

// firstOutput implements target.
func (t *webTarget) firstOutput() {}

// finish implements target.
func (t *webTarget) finish(bool) {}

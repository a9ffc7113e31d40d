package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
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
	chosen  string
}

// choose implements backend: the fewest attempts in flight win. Back ends that
// failed lately are avoided as long as there are others.
func (b *webBackend) choose(w *work) (target, *caller.Problem) {
	service := b.newestService(w)
	if service == nil {
		return nil, noWebBackendProblem()
	}
	now := b.server.options.Clock()
	address, found := b.leastInFlight(service, func(address string) bool {
		return w.hasTried(address) || b.server.suspects.avoided(now, address)
	})
	if !found {
		address, found = b.leastInFlight(service, w.hasTried)
	}
	if !found {
		return nil, noWebBackendProblem()
	}
	return &webTarget{backend: b, chosen: address}, nil
}

// newestService returns the work's service in the newest view, or nil.
func (b *webBackend) newestService(w *work) *routing.WebService {
	view := b.server.options.Source.View()
	if view == nil {
		return nil
	}
	return view.WebServices[w.destination.WebService.Config.GetName()]
}

// leastInFlight returns the admitting back end with the fewest attempts.
func (b *webBackend) leastInFlight(service *routing.WebService, exclude func(string) bool) (string, bool) {
	best, bestCount, found := "", 0, false
	total := uint64(len(service.Replicas))
	turn := b.turn.Add(1)
	for offset := range total {
		listed := service.Replicas[(turn+offset)%total]
		if !listed.Admitting || exclude(listed.Address) {
			continue
		}
		count := b.server.inFlight.of(listed.Address)
		if !found || count < bestCount {
			best, bestCount, found = listed.Address, count, true
		}
	}
	return best, found
}

// noWebBackendProblem tells that no back end admits requests.
func noWebBackendProblem() *caller.Problem {
	return caller.NewProblem(caller.KindNoBackend,
		"no back end of the web service takes requests: send the request again").After(time.Second)
}

// address implements target.
func (t *webTarget) address() string {
	return t.chosen
}

// current implements target.
func (t *webTarget) current(w *work) bool {
	service := t.backend.newestService(w)
	if service == nil {
		return false
	}
	for _, listed := range service.Replicas {
		if listed.Address == t.chosen {
			return listed.Admitting
		}
	}
	return false
}

// send implements target.
func (t *webTarget) send(ctx context.Context, w *work, attempt int) (Answer, error) {
	return t.backend.edge.Send(ctx, w.attempt(t.backend.server, t.chosen, attempt))
}

// firstOutput implements target.
func (t *webTarget) firstOutput() {}

// finish implements target.
func (t *webTarget) finish(bool) {}

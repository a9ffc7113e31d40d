package node

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// starts tells which back ends are cold where the list does not: one that appears
// in it is cold for as long as its destination's configuration says. Those of the
// first reading are taken for warm, since nothing tells when they started.
type starts struct {
	view func() *routing.View
	// started is when each listed back end started, as far as the list shows; nil
	// before the first reading.
	started map[listedBackend]time.Duration
}

// listedBackend is a place in the list.
type listedBackend struct {
	service, address string
}

// mark sets for how much longer the listed back ends are cold.
func (s *starts) mark(now time.Duration, services []control.ServiceEndpoints) {
	appeared := now
	if s.started == nil {
		appeared = now - dynamic.MaxColdStart
	}
	started, times := map[listedBackend]time.Duration{}, coldStarts(s.view())
	for _, service := range services {
		for at := range service.Endpoints {
			replica := &service.Endpoints[at]
			place := listedBackend{service: service.Name, address: replica.Address}
			since, known := s.started[place]
			if !known {
				since = appeared
			}
			started[place] = since
			replica.WarmUpRemaining = max(0, since+times[service.Name]-now)
		}
	}
	s.started = started
}

// coldStarts returns for how long the back ends of each service are cold.
func coldStarts(view *routing.View) map[string]time.Duration {
	times := map[string]time.Duration{}
	if view == nil {
		return times
	}
	set := func(service string, limits *ridgeswitchv1.BackendLimits) {
		times[service] = time.Duration(limits.GetColdStartMs()) * time.Millisecond
	}
	for _, pool := range view.Pools {
		set(pool.Config.GetService(), pool.Config.GetBackends())
	}
	for _, service := range view.WebServices {
		set(service.Config.GetService(), service.Config.GetBackends())
	}
	return times
}

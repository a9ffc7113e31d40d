package node

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// slowStart determines which back ends are warming up, because the platform's list of the
// product's own protocol does not say so. A back end that newly appears in the list warms up
// for the time that the configuration of its destination gives. The back ends in the first
// list count as warm, because the time when they started is not known.
type slowStart struct {
	view func() *routing.View
	// startedAt is when each listed back end first appeared in the list; nil before the
	// first list was read.
	startedAt map[backendKey]time.Duration
}

// backendKey identifies a back end in the platform's list.
type backendKey struct {
	service, address string
}

// setWarmUpRemaining sets WarmUpRemaining of each endpoint: how much longer it warms up.
func (s *slowStart) setWarmUpRemaining(now time.Duration, services []control.ServiceEndpoints) {
	appeared := now
	if s.startedAt == nil {
		appeared = now - dynamic.MaxSlowStart
	}
	started, durations := map[backendKey]time.Duration{}, slowStartDurations(s.view())
	for _, service := range services {
		for at := range service.Endpoints {
			replica := &service.Endpoints[at]
			key := backendKey{service: service.Name, address: replica.Address}
			since, found := s.startedAt[key]
			if !found {
				since = appeared
			}
			started[key] = since
			replica.WarmUpRemaining = max(0, since+durations[service.Name]-now)
		}
	}
	s.startedAt = started
}

// slowStartDurations returns how long the back ends of each service warm up.
func slowStartDurations(view *routing.View) map[string]time.Duration {
	durations := map[string]time.Duration{}
	if view == nil {
		return durations
	}
	set := func(service string, limits *ridgeswitchv1.BackendLimits) {
		durations[service] = time.Duration(limits.GetColdStartMs()) * time.Millisecond
	}
	for _, pool := range view.Pools {
		set(pool.Config.GetService(), pool.Config.GetBackends())
	}
	for _, service := range view.WebServices {
		set(service.Config.GetService(), service.Config.GetBackends())
	}
	return durations
}

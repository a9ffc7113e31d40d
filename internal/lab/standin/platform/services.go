package platform

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ReplicaState is the state of a backend as reported by the platform.
type ReplicaState string

// States of a backend. A removed backend is deleted from the list.
const (
	StateRunning  ReplicaState = "running"
	StateDraining ReplicaState = "draining"
	StateRemoved  ReplicaState = "removed"
)

// Replica is one backend in the list of a service.
type Replica struct {
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	State   ReplicaState `json:"state"`
}

// Service is one service in the list.
type Service struct {
	Name     string    `json:"name"`
	Replicas []Replica `json:"replicas"`
}

// Endpoints is the response to GET /v1/services and the format of the file with
// the initial list.
type Endpoints struct {
	Services []Service `json:"services"`
}

// Change sets the state of one backend, and adds the backend if it is not listed.
type Change struct {
	Service string       `json:"service"`
	Address string       `json:"address"`
	Zone    string       `json:"zone,omitempty"`
	State   ReplicaState `json:"state"`
}

// Changes is the body of POST /lab/services.
type Changes struct {
	Changes []Change `json:"changes"`
}

// ParseEndpoints parses and validates an initial list.
func ParseEndpoints(data []byte) (Endpoints, error) {
	var endpoints Endpoints
	if err := json.Unmarshal(data, &endpoints); err != nil {
		return endpoints, errors.Wrap(err, "platform: parse list of services")
	}
	for _, service := range endpoints.Services {
		for _, replica := range service.Replicas {
			change := Change{Service: service.Name, Address: replica.Address, Zone: replica.Zone, State: replica.State}
			if err := change.check(); err != nil {
				return endpoints, err
			}
		}
	}
	return endpoints, nil
}

func (c Change) check() error {
	if c.Service == "" || c.Address == "" {
		return errors.New("platform: a change must name a service and an address")
	}
	switch c.State {
	case StateRunning, StateDraining, StateRemoved:
		return nil
	}
	return errors.Errorf("platform: state %q is unknown; use %s, %s or %s", c.State, StateRunning, StateDraining, StateRemoved)
}

// with returns a copy of the list with a change applied; the original list is not
// modified.
func (l Endpoints) with(change Change) Endpoints {
	next := Endpoints{}
	found := false
	for _, service := range l.Services {
		if service.Name == change.Service {
			service = service.with(change)
			found = true
		}
		next.Services = append(next.Services, service)
	}
	if !found {
		next.Services = append(next.Services, Service{Name: change.Service}.with(change))
	}
	return next
}

func (s Service) with(change Change) Service {
	next := Service{Name: s.Name, Replicas: []Replica{}}
	found := false
	for _, replica := range s.Replicas {
		if replica.Address == change.Address {
			found = true
			replica.State = change.State
			if change.Zone != "" {
				replica.Zone = change.Zone
			}
		}
		if replica.State != StateRemoved {
			next.Replicas = append(next.Replicas, replica)
		}
	}
	if !found && change.State != StateRemoved {
		next.Replicas = append(next.Replicas, Replica{Address: change.Address, Zone: change.Zone, State: change.State})
	}
	return next
}

// Package platform implements the native protocol with the platform that starts, lists and stops
// back ends. The platform's list may be out of date. A Client has no state but the connections of
// its sender and may be used concurrently.
//
// The folder platform/ at the root of the repository is another package. It implements the
// protocols of one particular platform, which replace the native ones.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// PathServices is the path of the platform's list of back ends.
	PathServices = "/v1/services"
	// maxResponseBytes bounds the size of the list.
	maxResponseBytes = 16 << 20
)

// State is the state of a back end as the platform reports it.
type State string

// The states of a listed back end.
const (
	// StateRunning back ends may get new requests.
	StateRunning State = "running"
	// StateDraining back ends will be stopped soon.
	StateDraining State = "draining"
)

// Replica is one listed back end, of a pool or of a web service.
type Replica struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// Service is a listed service with its back ends.
type Service struct {
	Name     string    `json:"name"`
	Replicas []Replica `json:"replicas"`
}

// Endpoints is the platform's list of services.
type Endpoints struct {
	Services []Service `json:"services"`
}

// EndpointsError reports that the platform's list cannot be used. The last valid list stays in
// force.
type EndpointsError struct {
	Reason string
}

// Error implements error.
func (e *EndpointsError) Error() string {
	return "the platform's list cannot be used: " + e.Reason
}

// Client fetches the platform's list.
type Client struct {
	sender  *outbound.Client
	address string
}

// NewClient returns a client of the platform at an address.
func NewClient(sender *outbound.Client, address string) *Client {
	return &Client{sender: sender, address: address}
}

// Fetch returns the platform's current list. The error is an *EndpointsError if the response is
// not a valid list.
func (c *Client) Fetch(ctx context.Context) (*Endpoints, error) {
	response, err := c.sender.Get(ctx, "http://"+c.address+PathServices)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &EndpointsError{Reason: fmt.Sprintf("the platform answered with status %d", response.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(body) > maxResponseBytes {
		return nil, &EndpointsError{Reason: fmt.Sprintf("it is larger than %d bytes", maxResponseBytes)}
	}
	return parseEndpoints(body)
}

// parseEndpoints parses and validates a list.
func parseEndpoints(body []byte) (*Endpoints, error) {
	endpoints := &Endpoints{}
	if err := json.Unmarshal(body, endpoints); err != nil {
		return nil, &EndpointsError{Reason: err.Error()}
	}
	if endpoints.Services == nil {
		return nil, &EndpointsError{Reason: "it has no services field"}
	}
	for _, service := range endpoints.Services {
		if err := service.check(); err != nil {
			return nil, err
		}
	}
	return endpoints, nil
}

// check returns an *EndpointsError for the first fault of a listed service.
func (s Service) check() error {
	if s.Name == "" {
		return &EndpointsError{Reason: "a service has no name"}
	}
	for _, replica := range s.Replicas {
		if replica.Address == "" {
			return &EndpointsError{Reason: "a replica of " + s.Name + " has no address"}
		}
		if replica.State != StateRunning && replica.State != StateDraining {
			return &EndpointsError{Reason: fmt.Sprintf("replica %s has the unknown state %q", replica.Address, replica.State)}
		}
	}
	return nil
}

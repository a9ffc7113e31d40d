package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/platform"
)

// changesPath is where the platform's stand-in takes changes of its list.
const changesPath = "/lab/services"

// faultsPath is where a replica's stand-in takes its faults.
const faultsPath = "/lab/faults"

// What disturbed replicas do: the fractions of requests that they refuse and of
// responses that they truncate, and after how many bytes.
const (
	refuseRatio    = 0.3
	truncateRatio  = 0.15
	truncateAtByte = 400
)

// DrainReplica lets the platform list a model replica as draining.
func (fleet *Fleet) DrainReplica(ctx context.Context, address string) error {
	changes := platform.Changes{Changes: []platform.Change{{
		Service: fleet.Topology().Replicas.Service,
		Address: address,
		State:   platform.StateDraining,
	}}}
	return fleet.post(ctx, fleet.Topology().Platform.Address, changesPath, changes)
}

// DisturbReplicas lets replicas refuse requests and truncate responses, or ends that.
func (fleet *Fleet) DisturbReplicas(ctx context.Context, addresses []string, disturbed bool) error {
	var faults standin.Faults
	if disturbed {
		faults = standin.Faults{RefuseRatio: refuseRatio, TruncateRatio: truncateRatio, TruncateAtByte: truncateAtByte}
	}
	for _, address := range addresses {
		if err := fleet.post(ctx, address, faultsPath, faults); err != nil {
			return err
		}
	}
	return nil
}

// post sends a change to a stand-in as JSON.
func (fleet *Fleet) post(ctx context.Context, address, path string, content any) error {
	body, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode the change")
	}
	url := "http://" + address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build the change")
	}
	response, err := fleet.probe.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the change to a stand-in")
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s%s refused the change with status %d", address, path, response.StatusCode)
	}
	return nil
}

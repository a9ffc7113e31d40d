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

// changesPath is the path at which the platform's stand-in accepts changes to its list.
const changesPath = "/lab/services"

// faultsPath is the path at which a replica's stand-in accepts the faults to inject.
const faultsPath = "/lab/faults"

// Faults of disturbed replicas: the fraction of requests that they refuse, the fraction of
// responses that they truncate, and the number of bytes after which they truncate.
const (
	refuseRatio    = 0.3
	truncateRatio  = 0.15
	truncateAtByte = 400
)

// DrainReplica makes the platform's stand-in list a model replica as draining.
func (fleet *Fleet) DrainReplica(ctx context.Context, address string) error {
	changes := platform.Changes{Changes: []platform.Change{{
		Service: fleet.Topology().Replicas.Service,
		Address: address,
		State:   platform.StateDraining,
	}}}
	return fleet.post(ctx, fleet.Topology().Platform.Address, changesPath, changes)
}

// DisturbReplicas makes replicas refuse requests and truncate responses, or, if disturbed
// is false, removes their faults.
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
		return errors.Wrap(err, "build the request for the change")
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

package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// maxControlResponseBytes bounds a replica's response to a control call.
const maxControlResponseBytes = 1 << 20

// CommandClient requests reports from replicas and commands them to load weights.
type CommandClient struct {
	sender *outbound.Client
}

// NewCommandClient returns a client.
func NewCommandClient(sender *outbound.Client) *CommandClient {
	return &CommandClient{sender: sender}
}

// StatusError reports that a replica responded to a control call with an unexpected status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the replica answered %s with status %d; check that it speaks this protocol", e.Path, e.Status)
}

// StaleEpochError reports that the replica rejected a command because it has seen a higher
// fencing token, which this protocol calls epoch: a later leader commands the replica.
type StaleEpochError struct {
	Epoch uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("the replica rejected a weights command with epoch %d because it has seen a higher epoch; the later leader commands it", e.Epoch)
}

// Report requests the report of a replica.
func (c *CommandClient) Report(ctx context.Context, address string) (Report, error) {
	response, err := c.sender.Get(ctx, "http://"+address+PathReport)
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Report{}, &StatusError{Path: PathReport, Status: response.StatusCode}
	}
	report := Report{}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxControlResponseBytes))
	return report, errors.Wrap(decoder.Decode(&report), "decode a replica's report")
}

// LoadWeights commands a replica to load weights. It returns nil if the replica has accepted the
// command; Report shows when the weights are loaded. Errors other than *StaleEpochError and
// *StatusError leave open whether the command arrived.
func (c *CommandClient) LoadWeights(ctx context.Context, address string, command WeightsCommand) error {
	body, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode a weights command")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathWeights, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.sender.Send(request, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return checkAccepted(response, command)
}

// checkAccepted returns nil if the replica has accepted the command. The errors are
// *StaleEpochError and *StatusError.
func checkAccepted(response *http.Response, command WeightsCommand) error {
	switch {
	case response.StatusCode == http.StatusConflict:
		return &StaleEpochError{Epoch: command.Epoch}
	case response.StatusCode >= http.StatusMultipleChoices:
		return &StatusError{Path: PathWeights, Status: response.StatusCode}
	default:
		return nil
	}
}

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/webservice"
)

// Paths at which stand-ins serve their records as JSON lines.
const (
	executionsPath = "/lab/executions"
	commandsPath   = "/lab/commands"
)

// Limits of the collection.
const (
	// collectTimeout bounds the whole collection.
	collectTimeout = 5 * time.Second
	// maxCollectBytes bounds the size of one response of a stand-in.
	maxCollectBytes = 256 << 20
)

// Collect adds the records of all replicas and web service back ends to records.
func (fleet *Fleet) Collect(ctx context.Context, records *checker.Records) error {
	client := &http.Client{Timeout: collectTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, member := range fleet.options.Topology.Replicas.Members {
		if err := fleet.collectReplica(ctx, client, member, records); err != nil {
			return err
		}
	}
	for _, group := range fleet.options.Topology.WebServices {
		for _, member := range group.Members {
			if err := fleet.collectPages(ctx, client, group, member, records); err != nil {
				return err
			}
		}
	}
	return nil
}

// collectReplica reads the executions and the commands of one replica.
func (fleet *Fleet) collectReplica(ctx context.Context, client *http.Client, member Backend, records *checker.Records) error {
	executions, err := lines[replica.ExecutionRecord](ctx, client, member.Address, executionsPath)
	if err != nil {
		return err
	}
	commands, err := lines[replica.CommandRecord](ctx, client, member.Address, commandsPath)
	if err != nil {
		return err
	}
	for _, record := range executions {
		execution := fleet.execution(record)
		execution.Service = fleet.options.Topology.Replicas.Service
		execution.Zone = member.Zone
		records.Executions = append(records.Executions, execution)
	}
	for _, record := range commands {
		records.Commands = append(records.Commands, checker.Command{
			Replica: member.Address,
			Sender:  record.Sender, Epoch: record.Epoch, WeightVersion: record.WeightVersion,
			At: fleet.at(record.UnixNano), Accepted: record.Accepted,
		})
	}
	return nil
}

// execution converts a stand-in's record to the checker's. An execution that has not
// started when the run is over counts as refused: it cannot start any more, because its
// callers have disconnected.
func (fleet *Fleet) execution(record replica.ExecutionRecord) checker.Execution {
	return checker.Execution{
		RequestID:     record.RequestID,
		AttemptID:     record.AttemptID,
		Attempt:       record.Attempt,
		Replica:       record.Replica,
		Arrived:       fleet.at(record.ArrivedUnixNano),
		Refused:       !record.Started,
		Ended:         fleet.at(record.FinishedUnixNano),
		Tenant:        record.Tenant,
		WeightVersion: record.WeightVersion,
		FinalVersion:  record.FinalWeightVersion,
		PromptTokens:  record.PrefilledTokens + record.ReusedTokens,
		ReusedTokens:  record.ReusedTokens,
		Reused: lo.Map(record.ReusedChunks, func(chunk emulator.ReusedChunk, _ int) checker.Reuse {
			return checker.Reuse{Chunk: chunk.Hash, Tenant: chunk.Tenant, WeightVersion: chunk.WeightVersion}
		}),
	}
}

// collectPages reads the requests to one back end of a web service. Web
// requests have no tenant, so only their attempts are recorded.
func (fleet *Fleet) collectPages(ctx context.Context, client *http.Client, group WebGroup, member Backend, records *checker.Records) error {
	visits, err := lines[webservice.RequestRecord](ctx, client, member.Address, executionsPath)
	if err != nil {
		return err
	}
	for _, visit := range visits {
		records.Executions = append(records.Executions, checker.Execution{
			RequestID: visit.RequestID,
			AttemptID: visit.AttemptID,
			Attempt:   visit.Attempt,
			Service:   group.Service,
			Replica:   member.Address,
			Zone:      member.Zone,
			Arrived:   fleet.at(visit.StartedUnixNano),
			Refused:   visit.Refused,
			Ended:     fleet.at(visit.FinishedUnixNano),
		})
	}
	return nil
}

// at converts a Unix time in nanoseconds to the time since the run began.
func (fleet *Fleet) at(unixNano int64) time.Duration {
	return fleet.options.Clock.At(time.Unix(0, unixNano))
}

// lines reads a sequence of JSON values, one per line, from an HTTP server.
func lines[T any](ctx context.Context, client *http.Client, address, path string) ([]T, error) {
	body, err := get(ctx, client, address, path, maxCollectBytes)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	var values []T
	for decoder.More() {
		var value T
		if err := decoder.Decode(&value); err != nil {
			return nil, errors.Wrapf(err, "read %s%s", address, path)
		}
		values = append(values, value)
	}
	return values, nil
}

package player

import (
	"slices"
	"strconv"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// Emulate replays records on emulated replicas in virtual time, each pool on a
// fleet of its own. The settings describe one fleet. Equal arguments give equal
// results.
func Emulate(records []recording.Record, selection Selection, settings bench.Settings, policy bench.PolicyName) (Played, error) {
	var played Played
	pools := map[string][]recording.Record{}
	for _, record := range records {
		if record.Pool == "" {
			played.Skipped.Unsupported++
			continue
		}
		pools[record.Pool] = append(pools[record.Pool], record)
	}
	names := lo.Keys(pools)
	slices.Sort(names)
	for _, name := range names {
		samples, err := emulatePool(pools[name], selection, settings, policy)
		if err != nil {
			return Played{}, err
		}
		played.Samples = append(played.Samples, samples...)
	}
	return played, nil
}

// emulatePool replays the records of one pool.
func emulatePool(records []recording.Record, selection Selection, settings bench.Settings, policy bench.PolicyName) ([]report.Sample, error) {
	outcomes, err := bench.Replay(settings, policy, trace(records, selection))
	if err != nil {
		return nil, err
	}
	samples := make([]report.Sample, len(records))
	for position, record := range records {
		outcome := outcomes[position]
		sample := report.FromRecord(record)
		sample.Outcome = recording.Completed
		sample.Retries = outcome.Refused + outcome.Deferred
		sample.ReusedTokens = outcome.ReusedTokens
		sample.FirstToken = outcome.FirstToken
		sample.Total = outcome.Finished
		samples[position] = sample
	}
	return samples, nil
}

// trace returns the records as requests to the emulated fleet, in the same order.
func trace(records []recording.Record, selection Selection) []workload.Request {
	requests := make([]workload.Request, len(records))
	for position, record := range records {
		requests[position] = workload.Request{
			At:           selection.due(record),
			ID:           strconv.Itoa(position),
			Tenant:       record.Tenant,
			Chunks:       record.Prompt(),
			OutputTokens: record.OutputTokens,
			Streamed:     record.Streamed,
			Repeatable:   record.Repeatable,
		}
	}
	return requests
}

package fleet

import (
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// Summary is the result of an experiment as one JSON object. Times are in
// milliseconds.
type Summary struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Nodes      int    `json:"nodes"`
	Replicas   int    `json:"replicas"`
	Requests   int    `json:"requests"`
	Succeeded  int    `json:"succeeded"`
	Refused    int    `json:"refused"`
	// Failed counts truncated responses and connections without an answer.
	Failed int `json:"failed"`
	// Disconnected counts requests whose callers disconnected on purpose.
	Disconnected int `json:"left"`
	// Skipped counts requests that the callers could not send.
	Skipped int `json:"skipped"`
	// ErrorKinds counts refusals and failures by kind.
	ErrorKinds         map[string]int `json:"error_kinds"`
	ReusedTokenRatio   float64        `json:"reused_token_ratio"`
	RetryRatioMax      float64        `json:"retry_ratio_max"`
	FirstByteP50       float64        `json:"ttft_ms_p50"`
	FirstByteP95       float64        `json:"ttft_ms_p95"`
	ResponseP50        float64        `json:"answer_ms_p50"`
	ResponseP95        float64        `json:"answer_ms_p95"`
	ConfigChangesAcked int            `json:"config_changes_acked"`
	ConfigSpreadP99    float64        `json:"config_spread_ms_p99"`
	AcknowledgementP99 float64        `json:"ack_ms_p99"`
	WeightsConverged   bool           `json:"weights_settled"`
	WeightsConvergedMS float64        `json:"weights_settled_ms"`
	Commands           int            `json:"commands"`
	// LongestOutageMS is the longest span between the first and the last of several
	// unanswered requests to a service, with no answered one between them.
	LongestOutageMS float64             `json:"longest_outage_ms"`
	FailedSteps     []string            `json:"failed_steps"`
	Violations      []checker.Violation `json:"violations"`
}

// Summarize checks the records of an experiment and returns the summary.
func Summarize(topology *Topology, seed uint64, outcome *Outcome) *Summary {
	records := outcome.Records
	summary := &Summary{
		Deployment:         topology.Name,
		Seed:               seed,
		Nodes:              len(topology.Nodes),
		Replicas:           len(topology.Replicas.Members),
		Requests:           len(records.Requests),
		Skipped:            outcome.Skipped,
		ReusedTokenRatio:   checker.ReusedTokenRatio(records),
		RetryRatioMax:      checker.WorstRetryRatio(records),
		ConfigChangesAcked: checker.AcknowledgedChanges(records),
		ConfigSpreadP99:    milliseconds(checker.Quantile(checker.ConfigurationSpread(records), 0.99)),
		AcknowledgementP99: milliseconds(checker.Quantile(checker.AcknowledgementTimes(records), 0.99)),
		WeightsConverged:   outcome.Converged,
		WeightsConvergedMS: milliseconds(outcome.ConvergenceTime),
		Commands:           len(records.Commands),
		LongestOutageMS:    milliseconds(checker.LongestOutage(records)),
		FailedSteps:        lo.Map(outcome.Failures, func(err error, _ int) string { return err.Error() }),
		Violations:         append([]checker.Violation{}, checker.Check(records)...),
	}
	summary.countRequests(records, topology.Replicas.Service)
	return summary
}

// countRequests counts requests by result and computes the latency of complete requests
// to the model: the time to the first byte of streamed ones, and the duration of all.
func (summary *Summary) countRequests(records *checker.Records, model string) {
	summary.ErrorKinds = make(map[string]int)
	var waits, answers []time.Duration
	for _, request := range records.Requests {
		if request.ErrorKind != "" {
			summary.ErrorKinds[request.ErrorKind]++
		}
		switch request.Result {
		case checker.ResultComplete:
			summary.Succeeded++
		case checker.ResultRefused:
			summary.Refused++
		case checker.ResultDisconnected:
			summary.Disconnected++
		default:
			summary.Failed++
		}
		if request.Result != checker.ResultComplete || request.Service != model {
			continue
		}
		answers = append(answers, request.Ended-request.Sent)
		if request.Streamed {
			waits = append(waits, request.FirstByte-request.Sent)
		}
	}
	summary.FirstByteP50 = milliseconds(checker.Quantile(waits, 0.50))
	summary.ResponseP50 = milliseconds(checker.Quantile(answers, 0.50))
	summary.ResponseP95 = milliseconds(checker.Quantile(answers, 0.95))
	summary.FirstByteP95 = milliseconds(checker.Quantile(waits, 0.95))
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}

// Err returns an error if an invariant was violated or a step of the scenario could not
// be performed: a run without that step proves nothing about it.
func (summary *Summary) Err() error {
	if len(summary.Violations) > 0 || len(summary.FailedSteps) > 0 {
		return errors.Errorf("%d violations and %d failed steps; see the summary",
			len(summary.Violations), len(summary.FailedSteps))
	}
	return nil
}

package bench

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

// tailQuantile is the fraction of requests that are at least as fast as the tail
// figure.
const tailQuantile = 0.95

// Result is the result of a policy on the trace. TTFT is the time from a request's
// arrival to its first token.
type Result struct {
	Policy   PolicyName `json:"policy"`
	Mix      string     `json:"mix"`
	Seed     uint64     `json:"seed"`
	Requests int        `json:"requests"`

	TTFTMeanMS float64 `json:"ttft_ms_mean"`
	TTFTP95MS  float64 `json:"ttft_ms_p95"`
	// OutputTokenMeanMS is the mean time between two output tokens, over requests.
	OutputTokenMeanMS float64 `json:"output_token_ms_mean"`
	// PrefillTokens counts the prompt tokens that replicas computed.
	PrefillTokens uint64 `json:"prefill_tokens"`
	// ReusedTokens counts those that they did not compute, cached or pulled.
	ReusedTokens uint64 `json:"reused_tokens"`
	// ReusedTokenRatio is the fraction of prompt tokens that they did not compute.
	ReusedTokenRatio float64 `json:"reused_token_ratio"`
	// PulledTokens counts the tokens that were transferred by pulls.
	PulledTokens uint64 `json:"pulled_tokens"`
	// PrefillUtilization is the fraction of the replicas' time spent in prefill.
	PrefillUtilization float64 `json:"prefill_utilization"`
	// Refused counts attempts that a replica refused, and Deferred those that the
	// policy deferred; both were routed again.
	Refused  int `json:"refused"`
	Deferred int `json:"deferred"`
	// Resyncs counts the resets asked for after lost events.
	Resyncs int `json:"resyncs"`
	// ReusedOfOracle is the reused tokens as a fraction of the oracle's, for kv.
	ReusedOfOracle float64 `json:"reused_of_oracle,omitempty"`
}

// tallies are counted while a trace is replayed.
type tallies struct {
	firstTokens  []time.Duration
	pulledTokens uint64
	refused      int
	deferred     int
	resyncs      int
	end          time.Duration
}

// Compare replays the trace under every policy.
func Compare(settings Settings) ([]Result, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	trace, err := settings.trace()
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, name := range Policies() {
		result, err := runPolicy(settings, name, trace)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	compareWithOracle(results)
	return results, nil
}

// runPolicy replays the trace under one policy.
func runPolicy(settings Settings, name PolicyName, trace []workload.Request) (Result, error) {
	simulation, err := newSimulation(name, settings)
	if err != nil {
		return Result{}, err
	}
	simulation.run(trace)
	return simulation.result(name), nil
}

// compareWithOracle sets ReusedOfOracle.
func compareWithOracle(results []Result) {
	oracle, found := lo.Find(results, func(result Result) bool { return result.Policy == PolicyOracle })
	if !found || oracle.ReusedTokens == 0 {
		return
	}
	for position := range results {
		if result := &results[position]; result.Policy == PolicyKV {
			result.ReusedOfOracle = float64(result.ReusedTokens) / float64(oracle.ReusedTokens)
		}
	}
}

func (s *simulation) result(name PolicyName) Result {
	result := Result{
		Policy:       name,
		Mix:          string(s.settings.Mix.Name),
		Seed:         s.settings.Seed,
		Requests:     len(s.tallies.firstTokens),
		PulledTokens: s.tallies.pulledTokens,
		Refused:      s.tallies.refused,
		Deferred:     s.tallies.deferred,
		Resyncs:      s.tallies.resyncs,
	}
	var busy time.Duration
	var outputTimes []float64
	for _, machine := range s.machines {
		for _, execution := range machine.model.Executions() {
			if !execution.Started {
				continue
			}
			result.PrefillTokens += execution.PrefilledTokens
			result.ReusedTokens += execution.ReusedTokens
			busy += execution.FirstTokenAt - execution.StartedAt
			if further := execution.Request.OutputTokens - 1; further > 0 {
				spent := execution.FinishedAt - execution.FirstTokenAt
				outputTimes = append(outputTimes, milliseconds(spent)/float64(further))
			}
		}
	}
	if prompts := result.ReusedTokens + result.PrefillTokens; prompts > 0 {
		result.ReusedTokenRatio = float64(result.ReusedTokens) / float64(prompts)
	}
	if s.tallies.end > 0 {
		result.PrefillUtilization = float64(busy) / (float64(s.tallies.end) * float64(len(s.machines)))
	}
	result.OutputTokenMeanMS = lo.Mean(outputTimes)
	result.TTFTMeanMS = milliseconds(lo.Mean(s.tallies.firstTokens))
	result.TTFTP95MS = milliseconds(quantile(s.tallies.firstTokens, tailQuantile))
	return result
}

// quantile returns the smallest value that at least a fraction of the values do not
// exceed.
func quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}

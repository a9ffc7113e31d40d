package emulator

import "time"

// groundTruth is what really happened, over all incarnations.
type groundTruth struct {
	// executions are all arrivals, in order.
	executions []*Execution
	// runs counts the attempts of each request that have run, at least in part.
	runs map[string]int
}

// arrived records an arrival.
func (g *groundTruth) arrived(now time.Duration, request Request) *Execution {
	execution := &Execution{Request: request, Outcome: OutcomeRunning, ArrivedAt: now}
	g.executions = append(g.executions, execution)
	return execution
}

// started records that an attempt begins to run.
func (g *groundTruth) started(now time.Duration, execution *Execution, weightVersion string) {
	execution.Started = true
	execution.StartedAt = now
	execution.WeightVersion = weightVersion
	g.runs[execution.Request.RequestID]++
}

// refused records that an attempt has not run and will not run.
func (g *groundTruth) refused(now time.Duration, execution *Execution, reason RefusalReason) {
	execution.Outcome = OutcomeRefused
	execution.Refusal = reason
	execution.FinishedAt = now
}

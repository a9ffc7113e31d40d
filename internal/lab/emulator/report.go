package emulator

import (
	"time"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// reportHistory keeps past states for as long as a reader may see them.
type reportHistory struct {
	states []reportState
}

type reportState struct {
	at     time.Duration
	report protocol.Report
}

// recordReport records the present state for later readers. The report's age begins
// here.
func (r *Replica) recordReport() {
	state := reportState{at: r.now, report: r.currentReport()}
	states := r.reports.states
	if last := len(states) - 1; last >= 0 && states[last].at == r.now {
		states[last] = state
		return
	}
	// The newest state that is old enough stays: it is what a reader sees now.
	visible := 0
	for visible+1 < len(states) && states[visible+1].at <= r.now-r.config.ReportDelay {
		visible++
	}
	r.reports.states = append(states[visible:], state)
}

// Report returns the account of the state as it was the report delay ago. A
// replica that started since then shows its first state.
func (r *Replica) Report(now time.Duration) protocol.Report {
	r.Advance(now)
	states := r.reports.states
	shown := states[0]
	for _, state := range states {
		if state.at <= now-r.config.ReportDelay {
			shown = state
		}
	}
	report := shown.report
	age := min(r.config.ReportDelay, now-shown.at)
	report.AgeMS = CeilMilliseconds(age)
	report.Warming = shown.at < r.warmAt && now-age < r.warmAt
	return report
}

// CeilMilliseconds rounds an age up, so that nothing passes for newer than it
// is.
func CeilMilliseconds(age time.Duration) uint64 {
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}

func (r *Replica) currentReport() protocol.Report {
	return protocol.Report{
		Incarnation:         r.memory.journal.Incarnation(),
		WeightVersion:       r.WeightVersion(),
		ActiveRequests:      uint32(len(r.active)),
		ActivePrefillTokens: r.prefillTokens(),
		ActiveDecodeTokens:  r.activeTokens(),
		CachedTokens:        r.memory.CachedTokens(),
		CapacityTokens:      r.config.CapacityTokens,
		LastSequence:        r.memory.journal.LastSequence(),
	}
}

// prefillTokens counts the prompt tokens that accepted attempts still have to
// compute.
func (r *Replica) prefillTokens() uint64 {
	var tokens uint64
	for _, attempt := range r.active {
		switch {
		case attempt == r.engine.prefilling:
			tokens += attempt.uncomputed()
		case !attempt.execution.Started:
			tokens += attempt.prompt - r.memory.leadingTokens(attempt.links)
		}
	}
	return tokens
}

// activeTokens counts the tokens, prompt and generated, of all accepted attempts.
func (r *Replica) activeTokens() uint64 {
	var tokens uint64
	for _, attempt := range r.active {
		tokens += attempt.prompt + uint64(attempt.produced)
	}
	return tokens
}

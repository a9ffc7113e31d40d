package sim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// environment is what all parts of a run share: its settings, its time, its
// randomness and its record.
type environment struct {
	settings Settings
	*clock
	*randomness
	*record
}

func newEnvironment(settings Settings) *environment {
	passing := &clock{}
	return &environment{
		settings:   settings,
		clock:      passing,
		randomness: newRandomness(settings.Seed),
		record:     newRecord(passing, settings.Timeline),
	}
}

// broken reports whether a mechanism is switched off in this run.
func (e *environment) broken(mechanism Break) bool { return e.settings.Break == mechanism }

// inRecoveryPhase reports whether the recovery phase has begun, in which no fault
// is active.
func (e *environment) inRecoveryPhase() bool { return e.now >= e.settings.recoveryPhaseStart() }

// faultDuration returns a random duration of at least shortest, cut short so that
// the fault ends before the recovery phase.
func (e *environment) faultDuration(shortest, spread time.Duration) time.Duration {
	left := max(0, e.settings.recoveryPhaseStart()-e.now)
	return min(shortest+e.upTo(spread), left)
}

// newDiskIncarnation returns the incarnation of a disk that is found empty.
func (e *environment) newDiskIncarnation() uint64 { return uint64(wallEpoch + e.now.Milliseconds()) }

// maxViolations bounds the violations of one invariant that are recorded of one run, so that
// none hides another.
const maxViolations = 20

// Violation is one instant of a run at which an invariant did not hold.
type Violation = checker.Violation

// record is what a run leaves behind.
type record struct {
	clock      *clock
	counts     Counts
	violations []Violation
	// digest covers the course of the run, so that two runs can be compared.
	digest *xxhash.Digest
	// timeline is nil unless one was asked for.
	timeline *timeline
}

func newRecord(passing *clock, withTimeline bool) *record {
	recorded := &record{clock: passing, counts: Counts{Faults: map[string]uint64{}}, digest: xxhash.New()}
	if withTimeline {
		recorded.timeline = &timeline{}
	}
	return recorded
}

// violate records that an invariant did not hold.
func (r *record) violate(name checker.Name, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	r.logf(worldColumn, "VIOLATION %s: %s", name, detail)
	recorded := lo.CountBy(r.violations, func(one Violation) bool { return one.Invariant == name })
	if recorded < maxViolations {
		r.violations = append(r.violations, Violation{Invariant: name, Detail: detail, At: r.clock.now})
	}
}

// trace adds an event to the digest of the run.
func (r *record) trace(what string, number uint64) {
	_, _ = fmt.Fprintf(r.digest, "%d %s %d\n", r.clock.now, what, number)
}

// logf adds an entry to a column of the timeline, if one is recorded.
func (r *record) logf(column int, format string, arguments ...any) {
	if r.timeline == nil {
		return
	}
	r.timeline.entries = append(r.timeline.entries, timelineEntry{at: r.clock.now, column: column, text: fmt.Sprintf(format, arguments...)})
}

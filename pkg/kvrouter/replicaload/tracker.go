package replicaload

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
)

// ReportAges defines how load reports lose weight with age.
type ReportAges struct {
	// Fresh is the age up to which a report has full weight.
	Fresh time.Duration
	// Useless is the age from which on a report has no weight. Between Fresh and Useless
	// the weight falls linearly.
	Useless time.Duration
}

// weight returns the weight of a report of an age, from 1 for full weight to 0.
func (a ReportAges) weight(age time.Duration) float64 {
	if age <= a.Fresh {
		return 1
	}
	if age >= a.Useless {
		return 0
	}
	return float64(a.Useless-age) / float64(a.Useless-a.Fresh)
}

// Memory is the state of its memory that a replica reported, in tokens.
type Memory struct {
	Used, Total float64
	// Waiting counts the requests that wait for a slot or memory.
	Waiting float64
	// DescribesAt is the instant that the report describes.
	DescribesAt time.Duration
}

// Tracker estimates the load of one replica. The load of this router's own requests is
// called local.
type Tracker struct {
	ages  ReportAges
	local history
	// queue estimates how much of the prompts of local requests is still to be computed,
	// and shared the load of other routers, both as of drainedAt.
	queue     prefillQueue
	shared    sharedLoads
	drainedAt time.Duration
	// announced is set when the local load was not zero at the last announcement.
	announced bool

	// reportedRemote is the load of other routers by the newest report: the excess of the
	// reported load over the local one.
	reportedRemote Load
	// reportedAt is the instant that the newest report describes, if any.
	reportedAt time.Duration
	reported   bool
	// memory is the newest report of memory, if any.
	memory         Memory
	memoryReported bool
}

// NewTracker returns a Tracker of an idle replica.
func NewTracker(now time.Duration, ages ReportAges) Tracker {
	return Tracker{ages: ages, drainedAt: now}
}

// ChangeLocal adds a change to the local load.
func (t *Tracker) ChangeLocal(now time.Duration, change Load) {
	t.local.add(now, t.ages.Useless, change)
}

// Local returns the local load.
func (t *Tracker) Local() Load { return t.local.current }

// AddPrefill records a prompt that was sent, and how many tokens of it the replica has to
// compute. The caller must pass the result to RemovePrefill in the end.
func (t *Tracker) AddPrefill(priority uint8, tokens float64) *PrefillWork {
	return t.queue.add(priority, tokens)
}

// RemovePrefill records that a prompt has been computed or abandoned.
func (t *Tracker) RemovePrefill(work *PrefillWork) { t.queue.remove(work) }

// IsNewestReport reports whether no report that describes a later instant was recorded.
func (t *Tracker) IsNewestReport(describesAt time.Duration) bool {
	return !t.reported || describesAt >= t.reportedAt
}

// Report records the load that a replica reported, unless a report that describes a
// later instant was recorded before.
func (t *Tracker) Report(describesAt time.Duration, total Load) {
	if !t.IsNewestReport(describesAt) {
		return
	}
	t.reportedRemote = total.excessOver(t.local.at(describesAt))
	t.reportedAt = describesAt
	t.reported = true
}

// ReportMemory records the state of its memory that a replica reported.
func (t *Tracker) ReportMemory(memory Memory) {
	t.memory = memory
	t.memoryReported = true
}

// SetShared replaces the load that another router sent.
func (t *Tracker) SetShared(now time.Duration, router string, received SharedLoad) {
	t.shared.set(now, router, received)
}

// DiscardOthers drops the replica's reports and the loads that other routers sent, none
// of which apply after a restart of the replica.
func (t *Tracker) DiscardOthers() {
	t.reportedRemote = Load{}
	t.reported = false
	t.shared = sharedLoads{}
	t.memory = Memory{}
	t.memoryReported = false
}

// DrainedAt returns the time of the last Drain.
func (t *Tracker) DrainedAt() time.Duration { return t.drainedAt }

// Drain subtracts the tokens that the replica is estimated to have computed until now, at
// perToken milliseconds per token; none if perToken is 0, which means that the speed is
// unknown. Local requests and those of other routers share the replica's time in proportion
// to their remaining tokens.
func (t *Tracker) Drain(now time.Duration, perToken float64) {
	elapsed := now - t.drainedAt
	if elapsed <= 0 {
		return
	}
	t.drainedAt = now
	t.shared.sweep(now)
	local, others := t.queue.remaining(), t.shared.sum.prefill()
	if local+others <= 0 || perToken <= 0 {
		return
	}
	computed := units.Milliseconds(elapsed) / perToken
	localFraction := local / (local + others)
	t.queue.drain(computed * localFraction)
	t.shared.drain(computed * (1 - localFraction))
}

// Reported estimates the present load from local requests and reports. The load of other
// routers loses weight as the report ages, since the end of their requests is not known.
func (t *Tracker) Reported(now time.Duration) Load {
	if !t.reported {
		return t.local.current
	}
	return t.local.current.Plus(t.reportedRemote.Times(t.ages.weight(now - t.reportedAt)))
}

// Active estimates the present load from all sources: the local load, and the load of other
// routers as they sent it or as the replica reported it, whichever is more. A fresh report
// of memory replaces the estimate of DecodeTokens. PrefillTokens counts the local load only;
// RemainingPrefill includes the other routers.
func (t *Tracker) Active(now time.Duration) Load {
	total := t.local.current
	others := Load{Requests: t.shared.sum.Requests, DecodeTokens: t.shared.sum.DecodeTokens}
	if t.reported {
		reported := t.reportedRemote.Times(t.ages.weight(now - t.reportedAt))
		others.Requests = max(others.Requests, reported.Requests)
		others.DecodeTokens = max(others.DecodeTokens, reported.DecodeTokens)
	}
	total = total.Plus(others)
	if used, fresh := t.memoryInUse(now); fresh {
		total.DecodeTokens = used
	}
	return total
}

// RemainingPrefill estimates the prompt tokens that the replica still has to compute, as
// of the last Drain: those of local requests and of other routers.
func (t *Tracker) RemainingPrefill() float64 {
	return t.queue.remaining() + t.shared.sum.prefill()
}

// RemainingPrefillByPriority writes RemainingPrefill for each priority to sums.
func (t *Tracker) RemainingPrefillByPriority(sums *[Priorities]float64) {
	*sums = t.shared.sum.PrefillTokens
	t.queue.addByPriority(sums)
}

// UnannouncedRequests estimates the number of requests that the replica reported as waiting
// and that are in no load which a router sent.
func (t *Tracker) UnannouncedRequests(now time.Duration) float64 {
	if !t.reported {
		return 0
	}
	excess := t.reportedRemote.Requests*t.ages.weight(now-t.reportedAt) - t.shared.sum.Requests
	return max(0, min(excess, t.memory.Waiting))
}

// MemoryTotal returns the size of the replica's memory in tokens, or the assumed one
// when it has not reported it.
func (t *Tracker) MemoryTotal(assumed float64) float64 {
	if t.memory.Total > 0 {
		return t.memory.Total
	}
	return assumed
}

// memoryInUse returns the tokens in use now: the reported ones plus the change by local
// requests since. Fresh is false if there is no fresh report.
func (t *Tracker) memoryInUse(now time.Duration) (used float64, fresh bool) {
	if !t.memoryReported || now-t.memory.DescribesAt > t.ages.Fresh {
		return 0, false
	}
	since := t.local.current.DecodeTokens - t.local.at(t.memory.DescribesAt).DecodeTokens
	return max(0, t.memory.Used+since), true
}

// AnnouncementDue reports whether the local load is to be sent to other routers: it is not
// zero, or was not zero at the last announcement.
func (t *Tracker) AnnouncementDue() bool {
	return t.local.current.Requests != 0 || t.announced
}

// Announce returns the local load for other routers, and records for AnnouncementDue
// whether it is zero.
func (t *Tracker) Announce() SharedLoad {
	announcement := SharedLoad{
		DecodeTokens: t.local.current.DecodeTokens,
		Requests:     t.local.current.Requests,
	}
	t.queue.addByPriority(&announcement.PrefillTokens)
	t.announced = !announcement.idle()
	return announcement
}

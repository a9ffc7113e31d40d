package replicaload

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
)

// ReportAges says how load reports lose weight with age.
type ReportAges struct {
	// Fresh is the age up to which a report counts in full.
	Fresh time.Duration
	// Useless is the age from which on it does not count. In between its weight falls
	// in proportion.
	Useless time.Duration
}

// weight is 1 for fresh reports and falls to 0 for useless ones.
func (a ReportAges) weight(age time.Duration) float64 {
	if age <= a.Fresh {
		return 1
	}
	if age >= a.Useless {
		return 0
	}
	return float64(a.Useless-age) / float64(a.Useless-a.Fresh)
}

// Memory is what a replica reported of its memory, in tokens.
type Memory struct {
	Used, Total float64
	// Waiting counts the requests that wait for a slot or memory.
	Waiting float64
	// DescribesAt is the instant that the report describes.
	DescribesAt time.Duration
}

// Tracker is the load of one replica. Loads of this router's requests are called local.
type Tracker struct {
	ages  ReportAges
	local history
	// queue estimates what is still to be computed of the prompts of local requests, and
	// shared the load of other routers, both as of drainedAt.
	queue     prefillQueue
	shared    sharedLoads
	drainedAt time.Duration
	// announced is set when the last announcement stated some load.
	announced bool

	// reportedRemote is what the newest report showed in excess of the local load.
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

// AddPrefill records that a prompt was sent of which the replica has to compute
// tokens. The caller must end it with RemovePrefill.
func (t *Tracker) AddPrefill(priority uint8, tokens float64) *PrefillWork {
	return t.queue.add(priority, tokens)
}

// RemovePrefill records that a prompt has been computed or given up.
func (t *Tracker) RemovePrefill(work *PrefillWork) { t.queue.remove(work) }

// IsNewestReport reports whether no report of a later instant has come yet.
func (t *Tracker) IsNewestReport(describesAt time.Duration) bool {
	return !t.reported || describesAt >= t.reportedAt
}

// Report records the load that a replica reported, unless a report that describes a
// later instant came before.
func (t *Tracker) Report(describesAt time.Duration, total Load) {
	if !t.IsNewestReport(describesAt) {
		return
	}
	t.reportedRemote = total.excessOver(t.local.at(describesAt))
	t.reportedAt = describesAt
	t.reported = true
}

// ReportMemory records what a replica reported of its memory.
func (t *Tracker) ReportMemory(memory Memory) {
	t.memory = memory
	t.memoryReported = true
}

// SetShared replaces the load that another router sent.
func (t *Tracker) SetShared(now time.Duration, router string, received SharedLoad) {
	t.shared.set(now, router, received)
}

// DiscardOthers drops what reports showed and other routers sent, as after a
// restart of the replica.
func (t *Tracker) DiscardOthers() {
	t.reportedRemote = Load{}
	t.reported = false
	t.shared = sharedLoads{}
	t.memory = Memory{}
	t.memoryReported = false
}

// DrainedAt returns the time of the last Drain.
func (t *Tracker) DrainedAt() time.Duration { return t.drainedAt }

// Drain updates the estimate of what the replica has computed until now, at a speed in
// milliseconds per token; with 0, which stands for an unknown speed, it has computed
// nothing. Local requests and those of other routers share the replica's time.
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

// Reported estimates the present load by local requests and reports. What others do
// fades out as the report ages, since nothing tells when their work ends.
func (t *Tracker) Reported(now time.Duration) Load {
	if !t.reported {
		return t.local.current
	}
	return t.local.current.Plus(t.reportedRemote.Times(t.ages.weight(now - t.reportedAt)))
}

// Active estimates the present load by all sources: the local load, and what other
// routers sent or the replica reported, whichever is more. Of prefill it counts the
// local load alone; RemainingPrefill has all of it.
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

// RemainingPrefillByPriority is RemainingPrefill for each priority. It writes to sums.
func (t *Tracker) RemainingPrefillByPriority(sums *[Priorities]float64) {
	*sums = t.shared.sum.PrefillTokens
	t.queue.addByPriority(sums)
}

// UnannouncedRequests counts the requests that the replica reports as waiting, and
// that no router sent load of.
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

// memoryInUse returns the tokens in use now: the reported ones, and what the local
// requests have changed since. It returns false without a fresh report.
func (t *Tracker) memoryInUse(now time.Duration) (used float64, fresh bool) {
	if !t.memoryReported || now-t.memory.DescribesAt > t.ages.Fresh {
		return 0, false
	}
	since := t.local.current.DecodeTokens - t.local.at(t.memory.DescribesAt).DecodeTokens
	return max(0, t.memory.Used+since), true
}

// AnnouncementDue reports whether other routers are to be sent the local load: there is
// some, or there was some at the last announcement.
func (t *Tracker) AnnouncementDue() bool {
	return t.local.current.Requests != 0 || t.announced
}

// Announce returns the local load for other routers, and remembers for AnnouncementDue
// whether there was some.
func (t *Tracker) Announce() SharedLoad {
	announcement := SharedLoad{
		DecodeTokens: t.local.current.DecodeTokens,
		Requests:     t.local.current.Requests,
	}
	t.queue.addByPriority(&announcement.PrefillTokens)
	t.announced = !announcement.idle()
	return announcement
}

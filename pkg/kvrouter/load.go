package kvrouter

import (
	"sort"
	"time"
)

// historyResolution is the shortest time between two samples of local load.
const historyResolution = 20 * time.Millisecond

// load is the work of a replica.
type load struct {
	// prefillTokens are still to be computed before first tokens.
	prefillTokens float64
	// decodeTokens are in memory for active requests.
	decodeTokens float64
	requests     float64
}

func (l load) plus(other load) load {
	return load{
		prefillTokens: l.prefillTokens + other.prefillTokens,
		decodeTokens:  l.decodeTokens + other.decodeTokens,
		requests:      l.requests + other.requests,
	}
}

func (l load) times(factor float64) load {
	return load{
		prefillTokens: l.prefillTokens * factor,
		decodeTokens:  l.decodeTokens * factor,
		requests:      l.requests * factor,
	}
}

// excessOver returns what l has more than other, nothing of it negative.
func (l load) excessOver(other load) load {
	return load{
		prefillTokens: max(0, l.prefillTokens-other.prefillTokens),
		decodeTokens:  max(0, l.decodeTokens-other.decodeTokens),
		requests:      max(0, l.requests-other.requests),
	}
}

// replicaLoad is the load of one replica from three sources: this router's own
// reservations, which are exact and immediate; the replica's reports, which are
// late and cover all routers' work; and the loads that other routers sent of theirs.
//
// A report is compared with the local load at the instant that it describes, not
// with the present one. Otherwise work that was dispatched since would be
// subtracted, and work that ended since would be attributed to other routers.
type replicaLoad struct {
	local loadHistory
	// queue estimates what is unread of the prompts of this router's requests, and
	// shared the load of other routers, both as of drainedAt.
	queue     prefillQueue
	shared    sharedLoads
	drainedAt time.Duration
	// announced is set when Router.LocalLoads last returned load here.
	announced bool

	// others is what the newest report showed in excess of the local load.
	others load
	// reportedAt is the instant that the newest report describes, if any.
	reportedAt time.Duration
	reported   bool
	memory     memoryReport
}

// report records a report, unless one that describes a later instant came before.
func (r *replicaLoad) report(describes time.Duration, total load) {
	if r.reported && describes < r.reportedAt {
		return
	}
	r.others = total.excessOver(r.local.at(describes))
	r.reportedAt = describes
	r.reported = true
}

// discardOthers drops what reports showed and other routers sent, as after a
// restart of the replica.
func (r *replicaLoad) discardOthers() {
	r.others = load{}
	r.reported = false
	r.shared = sharedLoads{}
	r.memory = memoryReport{}
}

// total estimates the present load by reservations and reports. What others do
// fades out as the report ages, since nothing tells when their work ends.
func (r *replicaLoad) total(now time.Duration, options *Options) load {
	if !r.reported {
		return r.local.present
	}
	return r.local.present.plus(r.others.times(fade(now-r.reportedAt, options)))
}

// active estimates the present load by all three sources: the local load, and
// what other routers sent or the replica reported, whichever is more.
func (r *replicaLoad) active(now time.Duration, options *Options) load {
	total := r.local.present
	others := load{requests: r.shared.sum.Requests, decodeTokens: r.shared.sum.DecodeTokens}
	if r.reported {
		reported := r.others.times(fade(now-r.reportedAt, options))
		others.requests = max(others.requests, reported.requests)
		others.decodeTokens = max(others.decodeTokens, reported.decodeTokens)
	}
	total = total.plus(others)
	if used, fresh := r.memoryInUse(now, options); fresh {
		total.decodeTokens = used
	}
	return total
}

// unread estimates the prompt tokens that the replica still has to compute, as of
// drainedAt.
func (r *replicaLoad) unread() float64 {
	return r.queue.unread() + r.shared.sum.prefill()
}

// unannouncedRequests counts the requests that the replica reports as waiting, and
// that no router sent load of.
func (r *replicaLoad) unannouncedRequests(now time.Duration, options *Options) float64 {
	if !r.reported {
		return 0
	}
	fading := fade(now-r.reportedAt, options)
	excess := r.others.requests*fading - r.shared.sum.Requests
	return max(0, min(excess, r.memory.waiting))
}

// memoryReport is what a replica reported of its memory, in tokens.
type memoryReport struct {
	used, total float64
	// waiting counts the requests that wait for a slot or memory.
	waiting   float64
	describes time.Duration
	present   bool
}

// memoryInUse returns the tokens in use now: the reported ones, and what the local
// requests have changed since. It returns false without a fresh report.
func (r *replicaLoad) memoryInUse(now time.Duration, options *Options) (used float64, fresh bool) {
	if !r.memory.present || now-r.memory.describes > options.ReportFresh {
		return 0, false
	}
	since := r.local.present.decodeTokens - r.local.at(r.memory.describes).decodeTokens
	return max(0, r.memory.used+since), true
}

// fade is 1 for fresh reports and falls to 0 for useless ones.
func fade(age time.Duration, options *Options) float64 {
	if age <= options.ReportFresh {
		return 1
	}
	if age >= options.ReportUseless {
		return 0
	}
	return float64(options.ReportUseless-age) / float64(options.ReportUseless-options.ReportFresh)
}

// loadHistory is the load of this router's reservations at present and in the
// recent past.
type loadHistory struct {
	present load
	// samples are in order of time. Each is valid from its instant to the next.
	samples []loadSample
}

type loadSample struct {
	at   time.Duration
	load load
}

// add changes the present load, and retains samples as old as retention.
func (h *loadHistory) add(now, retention time.Duration, change load) {
	h.present = h.present.plus(change).excessOver(load{})
	last := len(h.samples) - 1
	if last >= 0 && now-h.samples[last].at < historyResolution {
		h.samples[last].load = h.present
		return
	}
	h.prune(now - retention)
	h.samples = append(h.samples, loadSample{at: now, load: h.present})
}

// prune drops samples that ended before the instant.
func (h *loadHistory) prune(instant time.Duration) {
	ended := 0
	for ended+1 < len(h.samples) && h.samples[ended+1].at <= instant {
		ended++
	}
	if ended > 0 {
		h.samples = append(h.samples[:0], h.samples[ended:]...)
	}
}

// at returns the local load at an instant.
func (h *loadHistory) at(instant time.Duration) load {
	after := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].at > instant })
	if after == 0 {
		return load{}
	}
	return h.samples[after-1].load
}

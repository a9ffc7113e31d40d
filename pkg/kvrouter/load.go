package kvrouter

import (
	"sort"
	"time"
)

// historyResolution is the shortest time between two samples of own load.
const historyResolution = 20 * time.Millisecond

// load is the work that a replica has on hand.
type load struct {
	// prefillTokens are still to be computed before first tokens.
	prefillTokens float64
	// decodeTokens are held in memory for active requests.
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

// excessOver returns what l holds above other, nothing of it negative.
func (l load) excessOver(other load) load {
	return load{
		prefillTokens: max(0, l.prefillTokens-other.prefillTokens),
		decodeTokens:  max(0, l.decodeTokens-other.decodeTokens),
		requests:      max(0, l.requests-other.requests),
	}
}

// loadRecord knows the load of one replica: this router's own reservations,
// which are exact and immediate, and the work of other routers, which only the
// replica's late reports show.
//
// A report is compared with the own load at the instant that it describes, not
// with the present one. Otherwise work that was dispatched since would be
// taken off, and work that ended since would be taken for somebody else's.
type loadRecord struct {
	local loadHistory
	// others is what the newest report showed beyond the own load.
	others load
	// reportedAt is the instant that the newest report describes.
	reportedAt time.Duration
	reported   bool
}

// report takes in a report, unless one that describes a later instant is known.
func (r *loadRecord) report(describes time.Duration, total load) {
	if r.reported && describes < r.reportedAt {
		return
	}
	r.others = total.excessOver(r.local.at(describes))
	r.reportedAt = describes
	r.reported = true
}

// forgetReports drops what reports showed, as after a restart.
func (r *loadRecord) forgetReports() {
	r.others = load{}
	r.reported = false
}

// total estimates the present load. What others do fades out as the report
// ages, since nothing tells when their work ends.
func (r *loadRecord) total(now time.Duration, options *Options) load {
	if !r.reported {
		return r.local.present
	}
	return r.local.present.plus(r.others.times(fade(now-r.reportedAt, options)))
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

// loadHistory is the own load at present and in the recent past.
type loadHistory struct {
	present load
	// samples are in order of time. Each holds from its instant to the next.
	samples []loadSample
}

type loadSample struct {
	at   time.Duration
	load load
}

// add changes the present load, and keeps the past as far back as keep.
func (h *loadHistory) add(now, keep time.Duration, change load) {
	h.present = h.present.plus(change).excessOver(load{})
	last := len(h.samples) - 1
	if last >= 0 && now-h.samples[last].at < historyResolution {
		h.samples[last].load = h.present
		return
	}
	h.prune(now - keep)
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

// at returns the own load at an instant.
func (h *loadHistory) at(instant time.Duration) load {
	after := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].at > instant })
	if after == 0 {
		return load{}
	}
	return h.samples[after-1].load
}

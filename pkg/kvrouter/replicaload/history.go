package replicaload

import (
	"sort"
	"time"
)

// historyResolution is the shortest time between two samples of a history.
const historyResolution = 20 * time.Millisecond

// history is the load of this router's requests at present and in the recent past.
type history struct {
	current Load
	// samples are in order of time. Each is valid until the instant of the next one.
	samples []sample
}

type sample struct {
	at   time.Duration
	load Load
}

// add adds a change to the current load. Samples are retained for at least retention.
func (h *history) add(now, retention time.Duration, change Load) {
	h.current = h.current.Plus(change).excessOver(Load{})
	last := len(h.samples) - 1
	if last >= 0 && now-h.samples[last].at < historyResolution {
		h.samples[last].load = h.current
		return
	}
	h.prune(now - retention)
	h.samples = append(h.samples, sample{at: now, load: h.current})
}

// prune drops the samples that were no longer valid at an instant.
func (h *history) prune(instant time.Duration) {
	ended := 0
	for ended+1 < len(h.samples) && h.samples[ended+1].at <= instant {
		ended++
	}
	if ended > 0 {
		h.samples = append(h.samples[:0], h.samples[ended:]...)
	}
}

// at returns the load at an instant; none before the first sample.
func (h *history) at(instant time.Duration) Load {
	after := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].at > instant })
	if after == 0 {
		return Load{}
	}
	return h.samples[after-1].load
}

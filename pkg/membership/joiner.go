package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// joiner owns the state of joining, on both sides: this node's own search for a seed
// that replies with its table, and the replies to other nodes that this node, as a
// seed, defers until its table is stable.
type joiner struct {
	config Config
	seeds  []string
	// startedAt is when this process started.
	startedAt time.Duration
	// joined tells whether the search has ended: a seed replied, none did in time, or
	// there was none to ask.
	joined bool
	// nextAttempt is when the next seed is asked, and nextSeed counts the attempts.
	nextAttempt time.Duration
	nextSeed    int
	// deferred are the nodes that wait for this node's table, and deferredSince is
	// when the first of them asked.
	deferred      []member.Info
	deferredSince time.Duration
}

func newJoiner(cfg Config, now time.Duration) *joiner {
	j := &joiner{
		config:      cfg,
		seeds:       cfg.Seeds,
		startedAt:   now,
		nextAttempt: now,
		// Nodes with the same seeds begin at different ones.
		nextSeed: int(ringPosition(cfg.Self.ID) % (1 << 16)),
	}
	j.joined = len(j.remoteSeeds()) == 0
	return j
}

// remoteSeeds returns the seeds that aren't this node's own address.
func (j *joiner) remoteSeeds() []string {
	return slices.DeleteFunc(slices.Clone(j.seeds), func(seed string) bool {
		return seed == "" || seed == j.config.Self.Address
	})
}

// vacantSeeds returns the remote seeds at which no member listens that may be running:
// where one has left or is fenced, another process may have started.
func (j *joiner) vacantSeeds(table *memberTable) []string {
	vacant := j.remoteSeeds()
	for _, e := range table.entries {
		if !e.record.certainlyFenced() && slices.Contains(vacant, e.record.Info.Address) {
			vacant = slices.DeleteFunc(vacant, func(seed string) bool { return seed == e.record.Info.Address })
		}
	}
	return vacant
}

// attemptDue tells whether it is time to ask the next seed.
func (j *joiner) attemptDue(now time.Duration) bool {
	return !j.joined && now >= j.nextAttempt
}

// attempt returns the next seed to ask, and schedules the attempt after it.
func (j *joiner) attempt(now time.Duration) (seed string) {
	j.nextAttempt = now + j.config.HeartbeatEvery
	seeds := j.remoteSeeds()
	seed = seeds[j.nextSeed%len(seeds)]
	j.nextSeed++
	return seed
}

// hasTimedOut tells whether no seed replied for so long that this node considers
// itself alone.
func (j *joiner) hasTimedOut(now time.Duration) bool {
	return now-j.startedAt >= joinTimeoutFences*j.config.FenceAfter
}

// onDeferral waits for a seed that will reply when its table is stable.
func (j *joiner) onDeferral(now time.Duration) {
	j.nextAttempt = max(j.nextAttempt, now+2*j.config.startupWindow()+j.config.HeartbeatEvery)
}

// pastStartupWindow tells whether nodes that started together with this one have had
// the time to join.
func (j *joiner) pastStartupWindow(now time.Duration) bool {
	return now-j.startedAt >= j.config.startupWindow()
}

// deferReply lets a joining node wait for this node's table.
func (j *joiner) deferReply(now time.Duration, joining member.Info) {
	if len(j.deferred) == 0 {
		j.deferredSince = now
	}
	waiting := slices.ContainsFunc(j.deferred, func(other member.Info) bool { return other.ID == joining.ID })
	if !waiting {
		j.deferred = append(j.deferred, joining)
	}
}

// takeDeferred returns the waiting nodes, and forgets them, once the table is stable
// or they have waited for twice the startup window.
func (j *joiner) takeDeferred(now time.Duration, stable bool) []member.Info {
	if len(j.deferred) == 0 {
		return nil
	}
	ready := j.pastStartupWindow(now) && stable
	if !ready && now-j.deferredSince < 2*j.config.startupWindow() {
		return nil
	}
	joining := j.deferred
	j.deferred = nil
	return joining
}

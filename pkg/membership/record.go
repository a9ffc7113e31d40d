package membership

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// clone copies r with all that it points to.
func (r Record) clone() Record {
	r.Monitors = slices.Clone(r.Monitors)
	r.MonitorBoots = slices.Clone(r.MonitorBoots)
	r.Silences = slices.Clone(r.Silences)
	return r
}

// compareOwnerPart orders two records of one member by what the member itself
// said: incarnation, then version, then whether it left.
func compareOwnerPart(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Info.Incarnation, b.Info.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(leftRank(a), leftRank(b)),
	)
}

func leftRank(r Record) int {
	if r.State == StateLeft {
		return 1
	}
	return 0
}

// mergeRecords joins two records of one member. It is commutative, associative
// and idempotent: the owner's part is the newer one, silences are united, and
// those that the owner's part has outlived are dropped.
func mergeRecords(a, b Record) Record {
	newer := a
	if compareOwnerPart(a, b) < 0 {
		newer = b
	}
	merged := newer.clone()
	merged.Silences = nil
	for _, silence := range slices.Concat(a.Silences, b.Silences) {
		merged.addSilence(silence)
	}
	merged.Silences = merged.withoutFormerProcesses()
	merged.State = merged.derivedState()
	return merged
}

// addSilence inserts s in order unless it is outlived or already present.
func (r *Record) addSilence(s Silence) {
	if s.Incarnation < r.Info.Incarnation {
		return
	}
	if s.Incarnation == r.Info.Incarnation && s.MonitorSetVersion < r.MonitorSetVersion {
		return
	}
	at, found := slices.BinarySearchFunc(r.Silences, s, compareSilences)
	if !found {
		r.Silences = slices.Insert(r.Silences, at, s)
	}
}

func compareSilences(a, b Silence) int {
	return cmp.Or(
		cmp.Compare(a.Monitor, b.Monitor),
		cmp.Compare(a.MonitorBoot, b.MonitorBoot),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.MonitorSetVersion, b.MonitorSetVersion),
	)
}

// countsSilence tells whether s speaks of exactly the monitor set that r
// declares, and comes from the very process that the member counts on.
func (r *Record) countsSilence(s Silence) bool {
	if s.Incarnation != r.Info.Incarnation || s.MonitorSetVersion != r.MonitorSetVersion {
		return false
	}
	return r.bindsMonitor(s.Monitor, s.MonitorBoot)
}

// isDoubt tells whether s says that the member is silent under the monitor set that
// r declares, whichever process of the monitor says so.
func (r *Record) isDoubt(s Silence) bool {
	return s.Incarnation == r.Info.Incarnation && s.MonitorSetVersion == r.MonitorSetVersion &&
		r.namesMonitor(s.Monitor)
}

// doubted tells whether any monitor reports the member silent. A monitor that
// started again has no part in a certain fence, but a member that lived would have
// noticed its start and declared a new set.
func (r *Record) doubted() bool {
	return slices.ContainsFunc(r.Silences, r.isDoubt)
}

// withoutFormerProcesses returns the silences without those of processes that the
// member does not count on and that another process of the same monitor followed.
// So a monitor that starts again and again adds two at most.
func (r *Record) withoutFormerProcesses() []Silence {
	return slices.DeleteFunc(slices.Clone(r.Silences), func(s Silence) bool {
		return r.isDoubt(s) && !r.countsSilence(s) && slices.ContainsFunc(r.Silences, func(other Silence) bool {
			return r.isDoubt(other) && other.Monitor == s.Monitor && other.MonitorBoot > s.MonitorBoot
		})
	})
}

// namesMonitor tells whether the member chose this monitor, in whatever process.
func (r *Record) namesMonitor(monitor member.ID) bool {
	return slices.Contains(r.Monitors, monitor)
}

// bindsMonitor tells whether the member counts on this process as a monitor.
func (r *Record) bindsMonitor(monitor member.ID, boot member.Incarnation) bool {
	at := slices.Index(r.Monitors, monitor)
	return at >= 0 && at < len(r.MonitorBoots) && r.MonitorBoots[at] == boot
}

func (r *Record) silenceCount() int {
	count := 0
	for _, silence := range r.Silences {
		if r.countsSilence(silence) {
			count++
		}
	}
	return count
}

// certainlyFenced tells whether the member refuses traffic in this incarnation
// now and for ever. See the package comment for why.
func (r *Record) certainlyFenced() bool {
	return r.State == StateLeft || r.silenceCount() >= silencesNeeded(len(r.Monitors))
}

// seemsReachable tells whether no monitor reports the member silent. A member
// that hasn't declared monitors yet is fenced, but may well answer.
func (r *Record) seemsReachable() bool {
	return r.State == StateAlive || r.MonitorSetVersion == 0 && r.State != StateLeft
}

func (r *Record) derivedState() State {
	switch {
	case r.State == StateLeft:
		return StateLeft
	case r.certainlyFenced():
		return StateFenced
	case r.doubted() || r.MonitorSetVersion == 0:
		return StateSuspect
	default:
		return StateAlive
	}
}

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
	r.TimeoutReports = slices.Clone(r.TimeoutReports)
	return r
}

// compareOwnerState orders two records of one member by what the member itself
// said: incarnation, then version, then whether it left.
func compareOwnerState(a, b Record) int {
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
	if compareOwnerState(a, b) < 0 {
		newer = b
	}
	merged := newer.clone()
	merged.TimeoutReports = nil
	for _, report := range slices.Concat(a.TimeoutReports, b.TimeoutReports) {
		merged.addTimeoutReport(report)
	}
	merged.TimeoutReports = merged.withoutSupersededReports()
	merged.State = merged.derivedState()
	return merged
}

// addTimeoutReport inserts s in order unless it is outlived or already present.
func (r *Record) addTimeoutReport(s TimeoutReport) {
	if s.Incarnation < r.Info.Incarnation {
		return
	}
	if s.Incarnation == r.Info.Incarnation && s.MonitorSetVersion < r.MonitorSetVersion {
		return
	}
	at, found := slices.BinarySearchFunc(r.TimeoutReports, s, compareTimeoutReports)
	if !found {
		r.TimeoutReports = slices.Insert(r.TimeoutReports, at, s)
	}
}

func compareTimeoutReports(a, b TimeoutReport) int {
	return cmp.Or(
		cmp.Compare(a.Monitor, b.Monitor),
		cmp.Compare(a.MonitorBoot, b.MonitorBoot),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.MonitorSetVersion, b.MonitorSetVersion),
	)
}

// countsReport tells whether s speaks of exactly the monitor set that r
// declares, and comes from the very process that the member counts on.
func (r *Record) countsReport(s TimeoutReport) bool {
	if s.Incarnation != r.Info.Incarnation || s.MonitorSetVersion != r.MonitorSetVersion {
		return false
	}
	return r.reliesOnMonitor(s.Monitor, s.MonitorBoot)
}

// isSuspicion tells whether s says that the member is silent under the monitor set that
// r declares, whichever process of the monitor says so.
func (r *Record) isSuspicion(s TimeoutReport) bool {
	return s.Incarnation == r.Info.Incarnation && s.MonitorSetVersion == r.MonitorSetVersion &&
		r.namesMonitor(s.Monitor)
}

// isSuspected tells whether any monitor reports the member silent. A monitor that
// started again has no part in a certain fence, but a member that lived would have
// noticed its start and declared a new set.
func (r *Record) isSuspected() bool {
	return slices.ContainsFunc(r.TimeoutReports, r.isSuspicion)
}

// withoutSupersededReports returns the silences without those of processes that the
// member does not count on and that another process of the same monitor followed.
// So a monitor that starts again and again adds two at most.
func (r *Record) withoutSupersededReports() []TimeoutReport {
	return slices.DeleteFunc(slices.Clone(r.TimeoutReports), func(s TimeoutReport) bool {
		return r.isSuspicion(s) && !r.countsReport(s) && slices.ContainsFunc(r.TimeoutReports, func(other TimeoutReport) bool {
			return r.isSuspicion(other) && other.Monitor == s.Monitor && other.MonitorBoot > s.MonitorBoot
		})
	})
}

// namesMonitor tells whether the member chose this monitor, in whatever process.
func (r *Record) namesMonitor(monitor member.ID) bool {
	return slices.Contains(r.Monitors, monitor)
}

// reliesOnMonitor tells whether the member counts on this process as a monitor.
func (r *Record) reliesOnMonitor(monitor member.ID, boot member.Incarnation) bool {
	at := slices.Index(r.Monitors, monitor)
	return at >= 0 && at < len(r.MonitorBoots) && r.MonitorBoots[at] == boot
}

func (r *Record) countedReports() int {
	count := 0
	for _, report := range r.TimeoutReports {
		if r.countsReport(report) {
			count++
		}
	}
	return count
}

// certainlyFenced tells whether the member refuses traffic in this incarnation
// now and for ever. See the package comment for why.
func (r *Record) certainlyFenced() bool {
	return r.State == StateLeft || r.countedReports() >= reportsNeeded(len(r.Monitors))
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
	case r.isSuspected() || r.MonitorSetVersion == 0:
		return StateSuspect
	default:
		return StateAlive
	}
}

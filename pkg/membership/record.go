package membership

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// State is the state of a member according to its record.
type State uint8

// The states of a member.
const (
	// StateAlive members have declared monitors, and none of the monitors reported them.
	StateAlive State = iota + 1
	// StateSuspect members were reported by too few monitors to be certainly fenced, or
	// have declared no monitors yet. They may still serve.
	StateSuspect
	// StateFenced members certainly refuse traffic for the rest of this incarnation; only a
	// later incarnation may serve.
	StateFenced
	// StateLeft members announced that they were stopping, or were removed by an operator.
	StateLeft
)

// Record is the table's information about one member. The member itself states all of it,
// except that TimeoutReports come from its monitors, State follows from them, and an
// operator's Remove sets StateLeft.
type Record struct {
	Info  member.Info
	State State
	// MonitorSetVersion numbers the monitor sets that the member declared in this
	// incarnation; 0 if it has declared none yet.
	MonitorSetVersion uint64
	// Monitors are the monitors that the member chose.
	Monitors []member.ID
	// MonitorBoots identify the processes of Monitors, in the same order, whose
	// acknowledgements and reports count: a promise ends with the process that made it.
	MonitorBoots []member.Incarnation
	// TimeoutReports are the monitors' reports about the member, sorted.
	TimeoutReports []TimeoutReport
	// Version orders the records of one incarnation of the member.
	Version uint64
}

// TimeoutReport states that a monitor's process has received no heartbeat of a member for
// so long that all its acknowledgements to the member have expired. The process promises
// never again to acknowledge that incarnation of the member under that monitor set.
type TimeoutReport struct {
	Monitor member.ID
	// MonitorBoot identifies the process of the monitor.
	MonitorBoot member.Incarnation
	// Incarnation and MonitorSetVersion are those of the reported member in the monitor's
	// table.
	Incarnation       member.Incarnation
	MonitorSetVersion uint64
}

// clone returns a deep copy of r.
func (r Record) clone() Record {
	r.Monitors = slices.Clone(r.Monitors)
	r.MonitorBoots = slices.Clone(r.MonitorBoots)
	r.TimeoutReports = slices.Clone(r.TimeoutReports)
	return r
}

// compareStatements orders two records of one member without regard to time-out reports:
// by incarnation, then by version, then by whether the member left.
func compareStatements(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Info.Incarnation, b.Info.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(leftRank(a), leftRank(b)),
	)
}

// leftRank orders a record with StateLeft after other records of the same version.
func leftRank(r Record) int {
	if r.State == StateLeft {
		return 1
	}
	return 0
}

// mergeRecords merges two records of one member. It is commutative, associative and
// idempotent: the result has the newer of the two records (compareStatements) with the
// union of the reports, less those of earlier incarnations and monitor sets.
func mergeRecords(a, b Record) Record {
	newer := a
	if compareStatements(a, b) < 0 {
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

// addTimeoutReport inserts a report in sorted order, unless the report is already present
// or is about an earlier incarnation or monitor set.
func (r *Record) addTimeoutReport(report TimeoutReport) {
	if report.Incarnation < r.Info.Incarnation {
		return
	}
	if report.Incarnation == r.Info.Incarnation && report.MonitorSetVersion < r.MonitorSetVersion {
		return
	}
	at, found := slices.BinarySearchFunc(r.TimeoutReports, report, compareTimeoutReports)
	if !found {
		r.TimeoutReports = slices.Insert(r.TimeoutReports, at, report)
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

// countsReport reports whether a report counts towards a certain fence: it is about the
// declared monitor set, and made by the monitor process that the set names.
func (r *Record) countsReport(report TimeoutReport) bool {
	if report.Incarnation != r.Info.Incarnation || report.MonitorSetVersion != r.MonitorSetVersion {
		return false
	}
	return r.reliesOnMonitor(report.Monitor, report.MonitorBoot)
}

// isSuspicion reports whether a report is about the declared monitor set and made by any
// process of one of its monitors.
func (r *Record) isSuspicion(report TimeoutReport) bool {
	return report.Incarnation == r.Info.Incarnation && report.MonitorSetVersion == r.MonitorSetVersion &&
		r.namesMonitor(report.Monitor)
}

// isSuspected reports whether any monitor reported the member under its declared set. The
// report of a monitor that restarted doesn't count towards a certain fence, but it justifies
// suspicion: a running member would have noticed the restart and declared a new set.
func (r *Record) isSuspected() bool {
	return slices.ContainsFunc(r.TimeoutReports, r.isSuspicion)
}

// withoutSupersededReports returns the reports, less those that don't count towards a
// certain fence and that a later process of the same monitor has repeated. So a monitor that
// restarts repeatedly adds at most two reports.
func (r *Record) withoutSupersededReports() []TimeoutReport {
	return slices.DeleteFunc(slices.Clone(r.TimeoutReports), func(report TimeoutReport) bool {
		return r.isSuspicion(report) && !r.countsReport(report) && slices.ContainsFunc(r.TimeoutReports, func(other TimeoutReport) bool {
			return r.isSuspicion(other) && other.Monitor == report.Monitor && other.MonitorBoot > report.MonitorBoot
		})
	})
}

// namesMonitor reports whether the declared set contains any process of a monitor.
func (r *Record) namesMonitor(monitor member.ID) bool {
	return slices.Contains(r.Monitors, monitor)
}

// reliesOnMonitor reports whether the declared set contains this process of a monitor.
func (r *Record) reliesOnMonitor(monitor member.ID, boot member.Incarnation) bool {
	at := slices.Index(r.Monitors, monitor)
	return at >= 0 && at < len(r.MonitorBoots) && r.MonitorBoots[at] == boot
}

// countedReports returns how many reports count towards a certain fence.
func (r *Record) countedReports() int {
	count := 0
	for _, report := range r.TimeoutReports {
		if r.countsReport(report) {
			count++
		}
	}
	return count
}

// certainlyFenced reports whether the member will refuse traffic for the rest of this
// incarnation. The package comment explains why that is certain.
func (r *Record) certainlyFenced() bool {
	return r.State == StateLeft || r.countedReports() >= reportsNeeded(len(r.Monitors))
}

// seemsReachable reports whether the member is likely to respond: no monitor reported it, or
// it has declared no monitors yet, so that it may be fenced but running.
func (r *Record) seemsReachable() bool {
	return r.State == StateAlive || r.MonitorSetVersion == 0 && r.State != StateLeft
}

// derivedState returns the state that follows from the declared set and the reports.
// StateLeft stays.
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

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
	// StateAlive members have declared monitors, and none reports them.
	StateAlive State = iota + 1
	// StateSuspect members are reported by some monitor, or have declared none yet; they
	// may still serve.
	StateSuspect
	// StateFenced members certainly refuse traffic for the rest of this incarnation; only a
	// later one may serve.
	StateFenced
	// StateLeft members announced that they stop, or were removed by an operator.
	StateLeft
)

// Record is what the table knows of one member. All but TimeoutReports is the member's
// own statement.
type Record struct {
	Info  member.Info
	State State
	// MonitorSetVersion numbers the member's choices of monitors in this incarnation; 0
	// if it has declared none yet.
	MonitorSetVersion uint64
	// Monitors are the monitors that the member chose.
	Monitors []member.ID
	// MonitorBoots are the processes of Monitors, in the same order, that the member
	// counts on: the promises of a monitor end with its process.
	MonitorBoots []member.Incarnation
	// TimeoutReports are the monitors' reports about the member, sorted.
	TimeoutReports []TimeoutReport
	// Version orders the records of one incarnation.
	Version uint64
}

// TimeoutReport states that one process of a monitor has received no heartbeat of a
// member for so long that the member's acknowledgements from it have expired, and
// promises not to acknowledge that incarnation under that monitor set again.
type TimeoutReport struct {
	Monitor member.ID
	// MonitorBoot identifies the process of the monitor.
	MonitorBoot member.Incarnation
	// Incarnation and MonitorSetVersion are those of the member in the monitor's table.
	Incarnation       member.Incarnation
	MonitorSetVersion uint64
}

// clone copies r with all that it points to.
func (r Record) clone() Record {
	r.Monitors = slices.Clone(r.Monitors)
	r.MonitorBoots = slices.Clone(r.MonitorBoots)
	r.TimeoutReports = slices.Clone(r.TimeoutReports)
	return r
}

// compareStatements orders two records of one member by what the member itself stated:
// incarnation, then version, then whether it left.
func compareStatements(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Info.Incarnation, b.Info.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(leftRank(a), leftRank(b)),
	)
}

// leftRank orders a record of a member that left after one of the same version.
func leftRank(r Record) int {
	if r.State == StateLeft {
		return 1
	}
	return 0
}

// mergeRecords joins two records of one member. It is commutative, associative and
// idempotent: it takes the newer of the member's own statements and the union of the
// reports, without those of earlier incarnations and monitor sets.
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

// addTimeoutReport inserts a report in order unless it is present already or of an
// earlier incarnation or monitor set.
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

// countsReport tells whether a report counts towards a certain fence: it is about the
// declared monitor set, and from the very process that the member counts on.
func (r *Record) countsReport(report TimeoutReport) bool {
	if report.Incarnation != r.Info.Incarnation || report.MonitorSetVersion != r.MonitorSetVersion {
		return false
	}
	return r.reliesOnMonitor(report.Monitor, report.MonitorBoot)
}

// isSuspicion tells whether a report is about the declared monitor set, whichever process
// of the monitor it is from.
func (r *Record) isSuspicion(report TimeoutReport) bool {
	return report.Incarnation == r.Info.Incarnation && report.MonitorSetVersion == r.MonitorSetVersion &&
		r.namesMonitor(report.Monitor)
}

// isSuspected tells whether any monitor reports the member. The report of a monitor that
// restarted doesn't count towards a certain fence, but a running member would have noticed
// the restart and declared a new set.
func (r *Record) isSuspected() bool {
	return slices.ContainsFunc(r.TimeoutReports, r.isSuspicion)
}

// withoutSupersededReports returns the reports without those of processes that the member
// doesn't count on and that a later process of the same monitor superseded. So a monitor
// that restarts again and again adds two at most.
func (r *Record) withoutSupersededReports() []TimeoutReport {
	return slices.DeleteFunc(slices.Clone(r.TimeoutReports), func(report TimeoutReport) bool {
		return r.isSuspicion(report) && !r.countsReport(report) && slices.ContainsFunc(r.TimeoutReports, func(other TimeoutReport) bool {
			return r.isSuspicion(other) && other.Monitor == report.Monitor && other.MonitorBoot > report.MonitorBoot
		})
	})
}

// namesMonitor tells whether the member chose a monitor, whichever its process.
func (r *Record) namesMonitor(monitor member.ID) bool {
	return slices.Contains(r.Monitors, monitor)
}

// reliesOnMonitor tells whether the member counts on this process of a monitor.
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

// certainlyFenced tells whether the member refuses traffic in this incarnation now and
// for ever. The package comment tells why.
func (r *Record) certainlyFenced() bool {
	return r.State == StateLeft || r.countedReports() >= reportsNeeded(len(r.Monitors))
}

// seemsReachable tells whether no monitor reports the member. A member that hasn't
// declared monitors yet is fenced, but may well respond.
func (r *Record) seemsReachable() bool {
	return r.State == StateAlive || r.MonitorSetVersion == 0 && r.State != StateLeft
}

// derivedState returns the state that follows from the rest of the record.
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

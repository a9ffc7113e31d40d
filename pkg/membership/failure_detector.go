package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// failureDetector is this node in its role as a monitor of others. It acknowledges
// heartbeats and reports the members whose heartbeats stopped.
//
// A report is a promise: after it, this process never again acknowledges that
// incarnation under that monitor set version. Each acknowledgement states the newest
// version reported, so that a member discounts acknowledgements that may have
// crossed the report.
type failureDetector struct {
	self member.ID
	// boot identifies this process in reports, since a promise ends with it.
	boot member.Incarnation
	// timeout is how long a member may be silent before it is reported.
	timeout time.Duration
	table   *memberTable
	// timers has one timer for each member of the table.
	timers map[member.ID]*heartbeatTimer
}

// heartbeatTimer times the heartbeats of one member's newest incarnation.
type heartbeatTimer struct {
	// lastHeard is when the member was last heard, or when this node learnt of its
	// monitor set, whichever is later.
	lastHeard time.Duration
	// timedOutVersion is the newest monitor set version reported; 0 if none.
	timedOutVersion uint64
}

func newFailureDetector(cfg Config, table *memberTable) failureDetector {
	return failureDetector{
		self:    cfg.Self.ID,
		boot:    cfg.Self.Incarnation,
		timeout: cfg.monitorTimeout(),
		table:   table,
		timers:  map[member.ID]*heartbeatTimer{},
	}
}

// observe restarts a member's timer for each new incarnation and each new monitor
// set: this node learnt of it only now, and owes the member the full time-out.
func (d *failureDetector) observe(now time.Duration, id member.ID, change tableChange) {
	switch {
	case change.newMember || change.newIncarnation:
		d.timers[id] = &heartbeatTimer{lastHeard: now}
	case change.newMonitorSet:
		d.timers[id].lastHeard = now
	}
}

// restartTimers grants every member the full time-out again.
func (d *failureDetector) restartTimers(now time.Duration) {
	for _, timer := range d.timers {
		timer.lastHeard = now
	}
}

// forget drops the timer of a member that left the table.
func (d *failureDetector) forget(id member.ID) {
	delete(d.timers, id)
}

// acknowledge returns the reply to a heartbeat. The caller has checked that it
// belongs to the newest incarnation of the member that record describes.
func (d *failureDetector) acknowledge(now time.Duration, heartbeat Message, record *Record) Message {
	timer := d.timers[heartbeat.From.ID]
	timer.lastHeard = now
	return Message{
		Type:              MessageHeartbeatReply,
		Sequence:          heartbeat.Sequence,
		Incarnation:       heartbeat.Incarnation,
		MonitorSetVersion: record.MonitorSetVersion,
		TimedOutVersion:   timer.timedOutVersion,
	}
}

// reportTimeouts returns the record, with this node's report added, of each member
// that chose this node as a monitor and has timed out. The caller must merge all of
// them into the table.
//
// A process that the member doesn't count on, because it started after the member's
// choice, reports too: otherwise a member that died shortly before that start would
// be considered alive for ever.
func (d *failureDetector) reportTimeouts(now time.Duration) []Record {
	var reported []Record
	for _, id := range d.table.monitored {
		record := &d.table.entries[id].record
		timer := d.timers[id]
		if id == d.self || !d.hasTimedOut(now, timer, record) {
			continue
		}
		timer.timedOutVersion = record.MonitorSetVersion
		withReport := record.clone()
		withReport.addTimeoutReport(TimeoutReport{
			Monitor:           d.self,
			MonitorBoot:       d.boot,
			Incarnation:       record.Info.Incarnation,
			MonitorSetVersion: record.MonitorSetVersion,
		})
		reported = append(reported, withReport)
	}
	return reported
}

// hasTimedOut tells whether a member has to be reported and hasn't been yet.
func (d *failureDetector) hasTimedOut(now time.Duration, timer *heartbeatTimer, record *Record) bool {
	return record.State != StateLeft &&
		timer.timedOutVersion < record.MonitorSetVersion &&
		now-timer.lastHeard >= d.timeout
}

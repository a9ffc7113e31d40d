package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// failureDetector represents this node as a monitor of other members: it acknowledges
// heartbeats and reports the members whose heartbeats stopped. It owns a timer for each
// member.
//
// Its invariant is that a report is a promise: after the report, this process never again
// acknowledges that incarnation under that monitor set version. Heartbeats that arrive after
// the report still get replies, since the member may have declared a later set. But each
// reply states the newest version reported, and the member counts no reply for versions up
// to that one, even if the report itself hasn't reached the member yet. Replies sent before
// the report need no such statement: they have expired by the time of the report, which is
// made only when timeout has passed since the last of them.
type failureDetector struct {
	self member.ID
	// boot identifies this process in reports, since a promise ends with the process that
	// made it.
	boot member.Incarnation
	// timeout is how long this node receives no heartbeat of a member before it reports
	// the member.
	timeout time.Duration
	table   *memberTable
	outbox  *outbox
	// timers has one timer for each member of the table.
	timers map[member.ID]*heartbeatTimer
}

// heartbeatTimer times the heartbeats of one member's newest incarnation.
type heartbeatTimer struct {
	// lastHeard is when this node received the member's last heartbeat or learned of its
	// monitor set, whichever is later.
	lastHeard time.Duration
	// timedOutVersion is the newest monitor set version reported; 0 if none.
	timedOutVersion uint64
}

func newFailureDetector(cfg Config, table *memberTable, outbox *outbox) *failureDetector {
	return &failureDetector{
		self:    cfg.Self.ID,
		boot:    cfg.Self.Incarnation,
		timeout: cfg.monitorTimeout(),
		table:   table,
		outbox:  outbox,
		timers:  map[member.ID]*heartbeatTimer{},
	}
}

// recordChanged restarts a member's timer for each new incarnation and each new monitor
// set: the full time-out counts from when this node learned of it.
func (d *failureDetector) recordChanged(now time.Duration, id member.ID, change tableChange) {
	switch {
	case change.newMember || change.newIncarnation:
		d.timers[id] = &heartbeatTimer{lastHeard: now}
	case change.newMonitorSet:
		d.timers[id].lastHeard = now
	}
}

// restartTimers restarts the full time-out of every member.
func (d *failureDetector) restartTimers(now time.Duration) {
	for _, timer := range d.timers {
		timer.lastHeard = now
	}
}

// forget drops the timer of a member whose record was dropped from the table.
func (d *failureDetector) forget(id member.ID) {
	delete(d.timers, id)
}

// onHeartbeat acknowledges a heartbeat if it is of the sender's newest known incarnation, and
// reports whether it did. If the table contains another incarnation of the sender, or the
// sender left or was removed, this node replies with its record of the sender instead.
// Heartbeats of unknown senders are ignored.
func (d *failureDetector) onHeartbeat(now time.Duration, msg Message) bool {
	e, known := d.table.entries[msg.From.ID]
	if !known {
		return false
	}
	if e.record.Info.Incarnation != msg.Incarnation || e.record.State == StateLeft {
		d.outbox.reply(msg, Message{Type: MessageGossip, Records: []Record{e.record.clone()}})
		return false
	}
	timer := d.timers[msg.From.ID]
	timer.lastHeard = now
	d.outbox.reply(msg, Message{
		Type:              MessageHeartbeatReply,
		Sequence:          msg.Sequence,
		Incarnation:       msg.Incarnation,
		MonitorSetVersion: e.record.MonitorSetVersion,
		TimedOutVersion:   timer.timedOutVersion,
	})
	return true
}

// reportTimeouts adds this node's report to the record of each member that chose this
// node as a monitor and has timed out.
//
// This process reports the member even if it started after the member declared its set,
// although such a report doesn't count towards a certain fence. Otherwise a member that died
// shortly before the restart of its monitors would be considered alive forever.
func (d *failureDetector) reportTimeouts(now time.Duration) {
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
	for _, record := range reported {
		d.table.merge(now, record)
	}
}

// hasTimedOut reports whether a member has timed out and this process hasn't reported it yet
// under its present monitor set.
func (d *failureDetector) hasTimedOut(now time.Duration, timer *heartbeatTimer, record *Record) bool {
	return record.State != StateLeft &&
		timer.timedOutVersion < record.MonitorSetVersion &&
		now-timer.lastHeard >= d.timeout
}

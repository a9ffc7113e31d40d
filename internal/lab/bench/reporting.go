package bench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// sendEvents carries a machine's new events to the policy.
func (s *simulation) sendEvents(now time.Duration, from *machine) {
	journal := from.model.Journal()
	events, kept := journal.After(from.sequence)
	if !kept {
		events = []replica.Event{from.model.Snapshot()}
	}
	from.sequence = journal.LastSequence()
	for _, event := range events {
		s.carry(now, from, event)
	}
}

func (s *simulation) carry(now time.Duration, from *machine, event replica.Event) {
	for _, delivery := range from.feed.Carry(now, event) {
		s.timers.add(delivery.At, func(now time.Duration) {
			if s.reader.event(now, from.number, delivery.Event) {
				s.resync(now, from)
			}
		})
	}
}

// resync asks a machine for a reset, once at a time.
func (s *simulation) resync(now time.Duration, from *machine) {
	if from.resyncing {
		return
	}
	from.resyncing = true
	s.tallies.resyncs++
	s.timers.add(now+s.settings.ResyncDelay, func(now time.Duration) {
		from.resyncing = false
		s.carry(now, from, from.model.Snapshot())
	})
}

// sendReports sends every machine's report, and again after the interval.
func (s *simulation) sendReports(now time.Duration) {
	for _, machine := range s.machines {
		report := machine.model.Report(now)
		s.settle(now, machine)
		s.reader.report(now, machine.number, report)
	}
	for _, number := range s.reader.resyncWanted(now) {
		s.resync(now, s.machines[number])
	}
	s.timers.add(now+s.settings.ReportEvery, s.sendReports)
}

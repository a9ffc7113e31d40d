package bench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
)

// reportSource is a replica or store as far as it reports what it caches.
type reportSource interface {
	Journal() *emulator.Journal
	Snapshot() replica.Event
}

// reporter sends the events of a replica or store, and has its network.
type reporter struct {
	number int
	zone   string
	source reportSource
	feed   *emulator.Feed
	// sequence is the number of the last event of the journal that was sent.
	sequence uint64
	// resyncing is set from the request for a reset until one has come.
	resyncing bool
	// linkFreeAt is when earlier transfers have ended.
	linkFreeAt time.Duration
}

func newReporter(settings Settings, number int, source reportSource) reporter {
	return reporter{
		number: number,
		zone:   settings.zone(number),
		source: source,
		feed:   emulator.NewFeed(settings.Feed, settings.Seed+uint64(number)),
	}
}

// sendEvents sends the new events to the policy, and returns them.
func (s *simulation) sendEvents(now time.Duration, from *reporter) []replica.Event {
	journal := from.source.Journal()
	events, complete := journal.After(from.sequence)
	if !complete {
		events = []replica.Event{from.source.Snapshot()}
	}
	from.sequence = journal.LastSequence()
	for _, event := range events {
		s.carry(now, from, event)
	}
	return events
}

// carry sends an event over the network of its sender, which may delay, lose, double or
// reorder it.
func (s *simulation) carry(now time.Duration, from *reporter, event replica.Event) {
	for _, delivery := range from.feed.Carry(now, event) {
		if delivery.At <= now {
			s.deliver(now, from, delivery.Event)
			continue
		}
		s.timers.Add(delivery.At, func(now time.Duration) { s.deliver(now, from, delivery.Event) })
	}
}

// deliver delivers an event to the policy.
func (s *simulation) deliver(now time.Duration, from *reporter, event replica.Event) {
	if event.Kind == replica.EventReset {
		from.resyncing = false
	}
	if s.reader.event(now, from.number, event) {
		s.resync(now, from)
	}
}

// resync requests a reset, unless one was requested and has not come yet.
func (s *simulation) resync(now time.Duration, from *reporter) {
	if from.resyncing {
		return
	}
	from.resyncing = true
	s.tallies.resyncs++
	s.timers.Add(now+s.settings.ResyncDelay, func(now time.Duration) {
		s.carry(now, from, from.source.Snapshot())
	})
}

// reporter returns the replica or store of a number.
func (s *simulation) reporter(number int) *reporter {
	if number == s.settings.storeNumber() {
		return &s.store.reporter
	}
	return &s.machines[number].reporter
}

// sendReports sends every machine's report, and again after the interval.
func (s *simulation) sendReports(now time.Duration) {
	for _, machine := range s.machines {
		report := machine.model.Report(now)
		s.publishNotices(now, machine)
		if s.reportLoss.Float64() >= s.settings.ReportLossRatio {
			s.reader.report(now, machine.number, report)
		}
	}
	for _, number := range s.reader.resyncNeeded(now) {
		s.resync(now, s.reporter(number))
	}
	s.timers.Add(now+s.settings.ReportEvery, s.sendReports)
}

package bench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

// submitAgainAfter is when a request that a replica refused is placed again.
const submitAgainAfter = time.Second

// machine is one emulated replica with what is under way on it.
type machine struct {
	number   int
	model    *emulator.Replica
	feed     *emulator.Feed
	attempts map[emulator.Handle]*attempt
	// sequence is how far the journal has been sent on.
	sequence uint64
	// linkFree is when the machine's network is done with earlier transfers.
	linkFree time.Duration
	// resyncing is set while a reset is on its way.
	resyncing bool
}

// attempt is one request on a machine.
type attempt struct {
	request *workload.Request
	placed  placement
}

// simulation replays a trace under one policy.
type simulation struct {
	settings Settings
	policy   policy
	reader   feedReader
	machines []*machine
	timers   timers
	// open counts the requests that have not finished.
	open    int
	tallies tallies
	// outcomes are those that Replay asks for; nil in a comparison.
	outcomes map[*workload.Request]*Outcome
}

func newSimulation(name PolicyName, settings Settings) (*simulation, error) {
	s := &simulation{settings: settings, policy: newPolicy(name, settings)}
	s.reader, _ = s.policy.(feedReader)
	for number := range settings.Replicas {
		config := settings.Machine
		config.Address = settings.address(number)
		config.Zone = settings.zone(number)
		model, err := emulator.New(config, -config.Warming)
		if err != nil {
			return nil, err
		}
		s.machines = append(s.machines, &machine{
			number:   number,
			model:    model,
			feed:     emulator.NewFeed(settings.Feed, settings.Seed+uint64(number)),
			attempts: map[emulator.Handle]*attempt{},
		})
	}
	return s, nil
}

// run replays the trace until every request has finished.
func (s *simulation) run(trace []workload.Request) {
	for position := range trace {
		request := &trace[position]
		s.timers.add(request.At, func(now time.Duration) { s.arrive(now, request) })
	}
	s.open = len(trace)
	if s.reader != nil {
		s.timers.add(0, s.sendReports)
	}
	for s.open > 0 {
		now, machine := s.next()
		if machine != nil {
			machine.model.Advance(now)
			s.settle(now, machine)
			continue
		}
		s.timers.runDue(now)
	}
}

// next returns the time of the next thing to happen, and the machine that it
// happens to, if it is not a timer.
func (s *simulation) next() (time.Duration, *machine) {
	at, found := s.timers.next()
	var changing *machine
	for _, machine := range s.machines {
		change, ok := machine.model.NextChange()
		if ok && (!found || change < at) {
			at, changing, found = change, machine, true
		}
	}
	return at, changing
}

// arrive places a request and hands it to the replica.
func (s *simulation) arrive(now time.Duration, request *workload.Request) {
	placed, again := s.policy.place(now, request)
	if again > 0 {
		s.tallies.deferred++
		s.note(request, func(outcome *Outcome) { outcome.Deferred++ })
		s.timers.add(now+again, func(now time.Duration) { s.arrive(now, request) })
		return
	}
	machine := s.machines[placed.replica]
	handle, err := machine.model.Submit(now, emulator.Request{
		RequestID:    request.ID,
		Tenant:       request.Tenant,
		Model:        model,
		CacheSalt:    placed.salt,
		Parts:        request.Parts,
		OutputTokens: request.OutputTokens,
		AwaitPull:    placed.pull != nil,
	})
	if err != nil {
		s.tallies.refused++
		s.note(request, func(outcome *Outcome) { outcome.Refused++ })
		s.policy.finished(now, &placed, false)
		s.timers.add(now+submitAgainAfter, func(now time.Duration) { s.arrive(now, request) })
		return
	}
	machine.attempts[handle] = &attempt{request: request, placed: placed}
	if placed.pull != nil {
		s.pull(now, machine, handle, placed)
	}
	s.settle(now, machine)
}

// pull moves the parts that the replica lacks from a peer. The networks of both
// machines carry one transfer at a time.
func (s *simulation) pull(now time.Duration, to *machine, handle emulator.Handle, placed placement) {
	from := s.machines[placed.source]
	missing := to.model.Missing(handle, placed.pull.FirstPart, placed.pull.LastPart)
	parts := from.model.Export(now, missing)
	s.settle(now, from)
	var tokens uint64
	for _, part := range parts {
		tokens += uint64(part.Tokens)
	}
	start := max(now, from.linkFree, to.linkFree)
	end := start + s.settings.Links.TransferTime(s.settings.zone(from.number), s.settings.zone(to.number), tokens)
	from.linkFree = end
	to.linkFree = end
	s.tallies.pulledTokens += tokens
	s.timers.add(end, func(now time.Duration) {
		to.model.PullDone(now, handle, parts)
		s.settle(now, to)
	})
}

// settle tells the policy what has happened on a machine and sends its new
// events on their way.
func (s *simulation) settle(now time.Duration, machine *machine) {
	for _, notice := range machine.model.Notices() {
		under := machine.attempts[notice.Handle]
		switch notice.Kind {
		case emulator.NoticeFirstToken:
			s.policy.firstToken(now, &under.placed)
			s.tallies.firstTokens = append(s.tallies.firstTokens, notice.At-under.request.At)
			s.note(under.request, func(outcome *Outcome) {
				outcome.FirstToken = notice.At - under.request.At
				outcome.ReusedTokens = notice.ReusedTokens
			})
		case emulator.NoticeFinished:
			s.policy.finished(now, &under.placed, true)
			s.note(under.request, func(outcome *Outcome) { outcome.Finished = notice.At - under.request.At })
			delete(machine.attempts, notice.Handle)
			s.open--
			s.tallies.end = now
		}
	}
	if s.reader != nil {
		s.sendEvents(now, machine)
	}
}

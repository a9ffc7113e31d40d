package bench

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/timers"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// resubmitAfter is when a request that a replica refused is routed again.
const resubmitAfter = time.Second

// machine is one emulated replica with its active attempts.
type machine struct {
	reporter
	model    *emulator.Replica
	attempts map[emulator.Handle]*attempt
	// pushFreeAt is when all earlier pushes of chunks to the store have ended.
	pushFreeAt time.Duration
}

// attempt is one request on a machine.
type attempt struct {
	request   *workload.Request
	placement placement
}

// simulation replays a trace under one policy.
type simulation struct {
	settings Settings
	policy   policy
	// reader is the policy if it uses the reports of replicas, else nil.
	reader feedReader
	// reportLoss draws which load reports are lost.
	reportLoss *rand.Rand
	machines   []*machine
	// store is nil in a fleet without one.
	store  *store
	timers timers.Queue
	// open counts the requests that have not finished.
	open    int
	tallies tallies
	// outcomes are those that Replay asks for; nil in a comparison.
	outcomes map[*workload.Request]*Outcome
}

// reportLossStream is the stream of the lost load reports. It has the number of the stream
// from which package workload draws the requests of the trace.
const reportLossStream = 0x10ad

func newSimulation(name PolicyName, settings Settings) (*simulation, error) {
	settings = settings.forPolicy(name)
	s := &simulation{settings: settings, policy: newPolicy(name, settings)}
	s.reportLoss = rand.New(rand.NewPCG(settings.Seed, reportLossStream))
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
			reporter: newReporter(settings, number, model),
			model:    model,
			attempts: map[emulator.Handle]*attempt{},
		})
	}
	s.store = newStore(settings)
	return s, nil
}

// run replays the trace until every request has finished.
func (s *simulation) run(trace []workload.Request) {
	for position := range trace {
		request := &trace[position]
		s.timers.Add(request.At, func(now time.Duration) { s.arrive(now, request) })
	}
	s.open = len(trace)
	if s.reader != nil {
		s.timers.Add(0, s.sendReports)
	}
	for s.open > 0 {
		now, machine := s.next()
		if machine != nil {
			machine.model.Advance(now)
			s.publishNotices(now, machine)
			continue
		}
		s.timers.RunDue(now)
	}
}

// next returns the time of the next event, and the machine that it happens on, or nil
// for a timer.
func (s *simulation) next() (time.Duration, *machine) {
	at, found := s.timers.Next()
	var changing *machine
	for _, machine := range s.machines {
		change, ok := machine.model.NextChange()
		if ok && (!found || change < at) {
			at, changing, found = change, machine, true
		}
	}
	return at, changing
}

// arrive routes a request and submits it to the replica.
func (s *simulation) arrive(now time.Duration, request *workload.Request) {
	placement, retryAfter := s.policy.route(now, request)
	if retryAfter > 0 {
		s.tallies.deferred++
		s.updateOutcome(request, func(outcome *Outcome) { outcome.Deferred++ })
		s.timers.Add(now+retryAfter, func(now time.Duration) { s.arrive(now, request) })
		return
	}
	machine := s.machines[placement.replica]
	handle, err := machine.model.Submit(now, emulator.Request{
		RequestID:    request.ID,
		Tenant:       request.Tenant,
		Model:        model,
		CacheSalt:    placement.salt,
		Chunks:       request.Chunks,
		OutputTokens: request.OutputTokens,
		AwaitPull:    placement.pull != nil,
	})
	if err != nil {
		s.tallies.refused++
		s.updateOutcome(request, func(outcome *Outcome) { outcome.Refused++ })
		s.policy.finished(now, &placement, false)
		s.timers.Add(now+resubmitAfter, func(now time.Duration) { s.arrive(now, request) })
		return
	}
	machine.attempts[handle] = &attempt{request: request, placement: placement}
	if placement.pull != nil {
		s.pull(now, machine, handle, placement)
	}
	s.publishNotices(now, machine)
}

// pull transfers the chunks that the replica lacks from a peer or the store. The
// networks of both ends carry one transfer at a time.
func (s *simulation) pull(now time.Duration, to *machine, handle emulator.Handle, placed placement) {
	missing := to.model.Missing(handle, placed.pull.FirstChunk, placed.pull.LastChunk)
	from, chunks := s.export(now, placed.source, missing)
	var tokens uint64
	for _, chunk := range chunks {
		tokens += uint64(chunk.Tokens)
	}
	start := max(now, from.linkFreeAt, to.linkFreeAt)
	end := start + s.settings.Links.TransferTime(from.zone, to.zone, tokens)
	from.linkFreeAt = end
	to.linkFreeAt = end
	s.tallies.pulledTokens += tokens
	s.timers.Add(end, func(now time.Duration) {
		to.model.PullDone(now, handle, chunks)
		s.publishNotices(now, to)
	})
}

// export returns the chunks that a peer or the store still caches of those that
// were asked for.
func (s *simulation) export(now time.Duration, source int, missing []prefixindex.ChainHash) (*reporter, []emulator.CachedChunk) {
	if source == s.settings.storeNumber() {
		return &s.store.reporter, s.store.model.Export(missing)
	}
	from := s.machines[source]
	chunks := from.model.Export(now, missing)
	s.publishNotices(now, from)
	return &from.reporter, chunks
}

// publishNotices notifies the policy of what has happened on a machine, and sends its
// new events.
func (s *simulation) publishNotices(now time.Duration, machine *machine) {
	for _, notice := range machine.model.Notices() {
		notified := machine.attempts[notice.Handle]
		switch notice.Kind {
		case emulator.NoticeFirstToken:
			s.policy.firstToken(now, &notified.placement)
			s.tallies.firstTokens = append(s.tallies.firstTokens, notice.At-notified.request.At)
			s.updateOutcome(notified.request, func(outcome *Outcome) {
				outcome.FirstToken = notice.At - notified.request.At
				outcome.ReusedTokens = notice.ReusedTokens
			})
		case emulator.NoticeFinished:
			s.policy.finished(now, &notified.placement, true)
			s.updateOutcome(notified.request, func(outcome *Outcome) { outcome.Finished = notice.At - notified.request.At })
			delete(machine.attempts, notice.Handle)
			s.open--
			s.tallies.end = now
		}
	}
	if s.reader == nil {
		return
	}
	events := s.sendEvents(now, &machine.reporter)
	if s.store != nil {
		s.push(now, machine, events)
	}
}

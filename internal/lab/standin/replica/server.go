package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// Server is one stand-in replica.
type Server struct {
	settings Settings
	clock    standin.Clock
	faults   *standin.FaultPlan
	client   *http.Client
	wake     chan struct{}

	// mutex guards everything below.
	mutex     sync.Mutex
	model     *emulator.Replica
	waiting   map[emulator.Handle]chan emulator.Notice
	delivered map[emulator.Handle]bool
	commands  []CommandRecord
	// changed is closed and replaced when the journal grows.
	changed     chan struct{}
	incarnation uint64
	sequence    uint64
	// crashed is closed when the replica crashes, which ends every open response,
	// and replaced for the next incarnation.
	crashed chan struct{}
}

// New returns a stand-in replica. Unless warmingUp is set, the emulated replica has
// already completed its warm-up.
func New(settings Settings, warmingUp bool) (*Server, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	model := settings.scaledModel()
	start := time.Duration(0)
	if !warmingUp {
		start = -model.Warming
	}
	emulated, err := emulator.New(model, start)
	if err != nil {
		return nil, err
	}
	s := &Server{
		settings:  settings,
		clock:     standin.NewClock(settings.TimeScale),
		faults:    standin.NewFaultPlan(settings.Seed),
		client:    &http.Client{},
		wake:      make(chan struct{}, 1),
		model:     emulated,
		waiting:   map[emulator.Handle]chan emulator.Notice{},
		delivered: map[emulator.Handle]bool{},
		changed:   make(chan struct{}),
		crashed:   make(chan struct{}),
	}
	return s, nil
}

// Run runs the model and serves on its address until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return s.run(ctx, func(handler http.Handler) error {
		return standin.Serve(ctx, s.settings.Model.Address, handler)
	})
}

// RunListener runs the model and serves on a listener until the context ends.
func (s *Server) RunListener(ctx context.Context, listener net.Listener) error {
	return s.run(ctx, func(handler http.Handler) error {
		return standin.ServeListener(ctx, listener, handler)
	})
}

func (s *Server) run(ctx context.Context, serve func(http.Handler) error) error {
	var background sync.WaitGroup
	background.Go(func() { s.runModel(ctx) })
	if s.settings.Store != "" {
		background.Go(func() { s.pushNewChunks(ctx) })
	}
	err := serve(s.Handler())
	background.Wait()
	return err
}

// Handler returns the HTTP handler of the replica. The model advances on its own
// only while Run or RunListener is running.
func (s *Server) Handler() http.Handler {
	events := &standin.EventStream{
		Source:      s,
		Clock:       s.clock,
		Plan:        s.settings.scaledFeed(),
		Seed:        s.settings.Seed,
		Drop:        s.faults.DropEvent,
		ReportEvery: s.settings.ReportEvery,
	}
	served := http.NewServeMux()
	served.HandleFunc(protocol.PathGenerate, s.generate)
	served.Handle(protocol.PathEvents, events)
	served.HandleFunc("GET "+protocol.PathReport, s.report)
	served.HandleFunc("POST "+protocol.PathWeights, s.loadWeights)
	served.HandleFunc("GET "+protocol.PathChunks+"{hash}", s.serveChunk)
	all := http.NewServeMux()
	all.Handle("/v1/", s.abortWhileDown(served))
	all.HandleFunc("GET /lab/executions", s.showExecutions)
	all.HandleFunc("GET /lab/commands", s.showCommands)
	all.HandleFunc("GET /lab/faults", s.showFaults)
	all.HandleFunc("POST /lab/faults", s.setFaults)
	return all
}

// abortWhileDown closes connections without a response while the replica is down,
// and aborts open responses when it crashes.
func (s *Server) abortWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		up := s.model.Up(s.clock.Now())
		crashed := s.crashed
		s.mutex.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-crashed:
				cancel()
			case <-ctx.Done():
			}
		}()
		next.ServeHTTP(w, r.WithContext(ctx))
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		default:
		}
	})
}

// runModel advances the model at the time of each of its changes, until the context
// ends.
func (s *Server) runModel(ctx context.Context) {
	for {
		wait := time.Hour
		s.update(func(now time.Duration) {
			if next, ok := s.model.NextChange(); ok {
				wait = s.clock.Real(next - now)
			}
		})
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.wake:
			timer.Stop()
		}
	}
}

// updateAndWake applies an action like update, and wakes runModel so that it
// recomputes the time of the next change.
func (s *Server) updateAndWake(action func(now time.Duration)) {
	s.update(action)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// update advances the model to the current time, applies an action to it, delivers
// its notices, and notifies the readers of events.
func (s *Server) update(action func(now time.Duration)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.model.Advance(now)
	action(now)
	for _, notice := range s.model.Notices() {
		s.deliver(notice)
	}
	s.notifyReaders()
}

// deliver sends a notice to the handler of the attempt. It does not block, because
// the channel has room for every notice that an attempt can get.
func (s *Server) deliver(notice emulator.Notice) {
	waiting, ok := s.waiting[notice.Handle]
	if !ok {
		return
	}
	waiting <- notice
	if notice.Kind == emulator.NoticeFinished || notice.Kind == emulator.NoticeCrashed {
		delete(s.waiting, notice.Handle)
	}
}

// notifyReaders wakes the readers of events when the journal has grown.
func (s *Server) notifyReaders() {
	journal := s.model.Journal()
	if journal.Incarnation() == s.incarnation && journal.LastSequence() == s.sequence {
		return
	}
	s.incarnation = journal.Incarnation()
	s.sequence = journal.LastSequence()
	close(s.changed)
	s.changed = make(chan struct{})
}

// EventsAfter implements standin.EventSource.
func (s *Server) EventsAfter(position standin.Position) ([]protocol.Event, <-chan struct{}) {
	var events []protocol.Event
	var changed <-chan struct{}
	s.update(func(time.Duration) {
		events = standin.JournalAfter(s.model.Journal(), position, s.model.Snapshot)
		changed = s.changed
	})
	return events, changed
}

// Report implements standin.EventSource. AgeMS is converted to real time.
func (s *Server) Report() protocol.Report {
	var report protocol.Report
	s.update(func(now time.Duration) { report = s.model.Report(now) })
	age := time.Duration(report.AgeMS) * time.Millisecond
	report.AgeMS = emulator.CeilMilliseconds(s.clock.Real(age))
	return report
}

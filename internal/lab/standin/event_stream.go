package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
)

const streamEnd = replica.StreamEnd

// Position identifies the last event that a reader has seen. The zero Position
// stands for a reader that has seen no event.
type Position struct {
	Known       bool
	Incarnation uint64
	Sequence    uint64
}

// EventSource is a replica or store whose events can be streamed.
type EventSource interface {
	// EventsAfter returns the events that follow a position, or a reset event
	// with a snapshot if the position is unknown or too old. The returned channel
	// is closed when later events are available.
	EventsAfter(position Position) ([]replica.Event, <-chan struct{})
	// Report returns the current report.
	Report() replica.Report
}

// JournalAfter returns the events of a journal that follow a position, or only
// the snapshot if the position is unknown, too old or of another incarnation.
func JournalAfter(journal *emulator.Journal, position Position, snapshot func() replica.Event) []replica.Event {
	if position.Known && position.Incarnation == journal.Incarnation() {
		if events, ok := journal.After(position.Sequence); ok {
			return events
		}
	}
	return []replica.Event{snapshot()}
}

// EventStream serves a source's events as JSON lines.
type EventStream struct {
	Source EventSource
	Clock  Clock
	// Plan, in model time, and Seed determine how events are delayed, reordered,
	// duplicated or lost on delivery.
	Plan emulator.FeedPlan
	Seed uint64
	// Drop, if set, reports whether the next event is lost in addition to the
	// losses of Plan. Reset events are never lost because of Drop.
	Drop func() bool
	// ReportEvery is the real time between reports.
	ReportEvery time.Duration
}

// ServeHTTP streams events until the client disconnects.
func (s *EventStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	position, err := s.position(r)
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Kind: "bad_position", Message: err.Error() + "; give the last sequence number seen"})
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	reader := &eventReader{
		stream:     s,
		position:   position,
		feed:       emulator.NewFeed(s.Plan, s.Seed),
		encoder:    json.NewEncoder(w),
		controller: http.NewResponseController(w),
	}
	_ = reader.run(r.Context())
}

// position returns the position given in the query parameters. Without the
// parameter "incarnation", the sequence number refers to the current incarnation.
func (s *EventStream) position(r *http.Request) (Position, error) {
	after := r.URL.Query().Get("after")
	if after == "" {
		return Position{}, nil
	}
	sequence, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return Position{}, err
	}
	incarnation := s.Source.Report().Incarnation
	if text := r.URL.Query().Get("incarnation"); text != "" {
		if incarnation, err = strconv.ParseUint(text, 10, 64); err != nil {
			return Position{}, err
		}
	}
	return Position{Known: true, Incarnation: incarnation, Sequence: sequence}, nil
}

// eventReader is one open event stream.
type eventReader struct {
	stream     *EventStream
	position   Position
	feed       *emulator.Feed
	pending    []emulator.Delivery
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (r *eventReader) run(ctx context.Context) error {
	reports := time.NewTicker(r.stream.ReportEvery)
	defer reports.Stop()
	if err := r.writeReport(); err != nil {
		return err
	}
	for {
		more := r.readEvents()
		wait, err := r.writeDue()
		if err != nil {
			return err
		}
		due := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			due.Stop()
			return ctx.Err()
		case <-more:
		case <-due.C:
		case <-reports.C:
			err = r.writeReport()
		}
		due.Stop()
		if err != nil {
			return err
		}
	}
}

// readEvents reads new events from the source and schedules their delivery. The
// returned channel is closed when the source has later events.
func (r *eventReader) readEvents() <-chan struct{} {
	events, more := r.stream.Source.EventsAfter(r.position)
	now := r.stream.Clock.Now()
	for _, event := range events {
		r.position = Position{Known: true, Incarnation: event.Incarnation, Sequence: event.Sequence}
		dropped := r.stream.Drop != nil && r.stream.Drop()
		if dropped && event.Kind != replica.EventReset {
			continue
		}
		r.pending = append(r.pending, r.feed.Carry(now, event)...)
	}
	slices.SortStableFunc(r.pending, func(a, b emulator.Delivery) int { return cmp.Compare(a.At, b.At) })
	return more
}

// writeDue writes the events whose delivery is due and returns the real time
// until the next delivery, or ReportEvery if none is pending.
func (r *eventReader) writeDue() (time.Duration, error) {
	now := r.stream.Clock.Now()
	written := 0
	for _, delivery := range r.pending {
		if delivery.At > now {
			break
		}
		if err := r.encoder.Encode(delivery.Event); err != nil {
			return 0, err
		}
		written++
	}
	r.pending = r.pending[written:]
	if written > 0 {
		if err := r.controller.Flush(); err != nil {
			return 0, err
		}
	}
	if len(r.pending) == 0 {
		return r.stream.ReportEvery, nil
	}
	return r.stream.Clock.Real(r.pending[0].At - now), nil
}

func (r *eventReader) writeReport() error {
	report := r.stream.Source.Report()
	event := replica.Event{Kind: replica.EventReport, Incarnation: report.Incarnation, Report: &report}
	if err := r.encoder.Encode(event); err != nil {
		return err
	}
	return r.controller.Flush()
}

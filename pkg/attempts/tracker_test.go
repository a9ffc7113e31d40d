package attempts_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// sequenceLength bounds the input sequences that are explored exhaustively.
const sequenceLength = 7

// inputs returns every event that could come next, fitting or not.
func inputs(planned int) []attempts.Event {
	events := []attempts.Event{
		{Kind: attempts.DeadlineExceeded},
		{Kind: attempts.CallerDisconnected},
		{Kind: attempts.AttemptsExhausted},
		{Kind: attempts.AttemptPlanned, Attempt: planned + 1},
	}
	for attempt := 1; attempt <= planned; attempt++ {
		for kind := attempts.ConnectStarted; kind <= attempts.OutcomeLost; kind++ {
			events = append(events, attempts.Event{Kind: kind, Attempt: attempt})
		}
	}
	return events
}

// truth is what may have happened at the back ends, kept apart from the tracker
// and by rules of its own: a request may run from the first byte on, unless the
// back end promised that it will not.
type truth struct {
	mayRun   []bool
	finished []bool
}

// after returns the truth after an event that the tracker accepted.
func (t truth) after(event attempts.Event) truth {
	next := truth{mayRun: append([]bool(nil), t.mayRun...), finished: append([]bool(nil), t.finished...)}
	position := event.Attempt - 1
	switch event.Kind {
	case attempts.AttemptPlanned:
		next.mayRun = append(next.mayRun, false)
		next.finished = append(next.finished, false)
	case attempts.BytesMayHaveLeft:
		next.mayRun[position] = true
	case attempts.Refused:
		next.mayRun[position] = false
		next.finished[position] = true
	case attempts.NotSent, attempts.ResponseCompleted, attempts.OutcomeLost:
		next.finished[position] = true
	}
	return next
}

// possibleRuns counts the attempts that may have run the request.
func (t truth) possibleRuns() int {
	runs := 0
	for _, ran := range t.mayRun {
		if ran {
			runs++
		}
	}
	return runs
}

// running counts the attempts that have not ended.
func (t truth) running() int {
	count := 0
	for _, finished := range t.finished {
		if !finished {
			count++
		}
	}
	return count
}

// replay builds a tracker from events that it is known to accept.
func replay(options attempts.Options, events []attempts.Event) *attempts.Tracker {
	tracker := attempts.New(options)
	for _, event := range events {
		Expect(tracker.Apply(event)).To(Succeed())
	}
	return tracker
}

// explore visits every sequence that the tracker accepts.
func explore(options attempts.Options, events []attempts.Event, actual truth, visit func([]attempts.Event, *attempts.Tracker, truth)) int {
	tracker := replay(options, events)
	visit(events, tracker, actual)
	visited := 1
	if len(events) == sequenceLength {
		return visited
	}
	for _, event := range inputs(len(actual.mayRun)) {
		if replay(options, events).Apply(event) != nil {
			continue
		}
		longer := append(append([]attempts.Event(nil), events...), event)
		visited += explore(options, longer, actual.after(event), visit)
	}
	return visited
}

// describe draws a sequence for a failure message.
func describe(events []attempts.Event) string {
	names := make([]string, len(events))
	for position, event := range events {
		names[position] = event.Kind.String()
	}
	return strings.Join(names, " -> ")
}

var _ = Describe("Tracker", func() {
	DescribeTable("over every short input sequence", func(repeatable bool) {
		options := attempts.Options{Idempotent: repeatable, MaxAttempts: 3}
		visited := explore(options, nil, truth{}, func(events []attempts.Event, tracker *attempts.Tracker, actual truth) {
			action := tracker.Next()
			if tracker.MayHaveRun() != (actual.possibleRuns() > 0) {
				// The tracker may only be the more careful of the two, while
				// a connection is being obtained.
				Expect(tracker.MayHaveRun()).To(BeTrue(), describe(events))
				Expect(actual.running()).To(BeNumerically(">", 0), describe(events))
			}
			if !repeatable && actual.possibleRuns() > 1 {
				Fail("a second run was possible: " + describe(events))
			}
			switch action.Kind {
			case attempts.Dispatch:
				Expect(actual.running()).To(BeZero(), describe(events))
				if !repeatable {
					Expect(actual.possibleRuns()).To(BeZero(), describe(events))
				}
			case attempts.RespondNotRun:
				Expect(actual.running()).To(BeZero(), describe(events))
				Expect(actual.possibleRuns()).To(BeZero(), describe(events))
			case attempts.RespondUnknown:
				Expect(actual.running()).To(BeZero(), describe(events))
				Expect(actual.possibleRuns()).To(BeNumerically(">", 0), describe(events))
			case attempts.RespondDeadline, attempts.Abandon:
				Expect(actual.running()).To(BeZero(), describe(events))
			case attempts.Wait, attempts.Cancel:
				Expect(actual.running()).To(BeNumerically(">", 0), describe(events))
			}
		})
		Expect(visited).To(BeNumerically(">", 1000))
	},
		Entry("of a request that may not be repeated", false),
		Entry("of a repeatable request", true),
	)

	DescribeTable("of a stream, over every short input sequence", func(resumable bool) {
		options := attempts.Options{Idempotent: resumable, Resumable: resumable, MaxAttempts: 2}
		resumed, aborted := 0, 0
		explore(options, nil, truth{}, func(events []attempts.Event, tracker *attempts.Tracker, actual truth) {
			started, ended := false, false
			for _, event := range events {
				started = started || event.Kind == attempts.ResponseStarted
				ended = ended || event.Kind == attempts.DeadlineExceeded || event.Kind == attempts.CallerDisconnected
			}
			action := tracker.Next()
			if !started {
				return
			}
			switch action.Kind {
			case attempts.RespondNotRun, attempts.RespondUnknown, attempts.RespondDeadline:
				Fail("an answer of the node's own after a part of a back end's: " + describe(events))
			case attempts.Dispatch:
				resumed++
				Expect(actual.running()).To(BeZero(), describe(events))
				Expect(ended).To(BeFalse(), describe(events))
				Expect(action.Attempt).To(BeNumerically("<=", options.MaxAttempts+options.MaxUnsent), describe(events))
			case attempts.AbortRelay:
				aborted++
				Expect(actual.running()).To(BeZero(), describe(events))
			}
		})
		Expect(resumed > 0).To(Equal(resumable))
		Expect(aborted).To(BeNumerically(">", 0))
	},
		Entry("that may be resumed", true),
		Entry("that may not", false),
	)

	It("never dispatches again once a part of a response was relayed", func() {
		tracker := replay(attempts.Options{Idempotent: true, MaxAttempts: 3}, []attempts.Event{
			{Kind: attempts.AttemptPlanned, Attempt: 1},
			{Kind: attempts.ConnectStarted, Attempt: 1},
			{Kind: attempts.BytesMayHaveLeft, Attempt: 1},
			{Kind: attempts.ResponseStarted, Attempt: 1},
			{Kind: attempts.OutcomeLost, Attempt: 1},
		})
		Expect(tracker.Next()).To(Equal(attempts.Action{Kind: attempts.AbortRelay, Attempt: 1}))
	})

	It("relays a response from its first part to its end", func() {
		tracker := replay(attempts.Options{MaxAttempts: 1}, []attempts.Event{
			{Kind: attempts.AttemptPlanned, Attempt: 1},
			{Kind: attempts.ConnectStarted, Attempt: 1},
			{Kind: attempts.BytesMayHaveLeft, Attempt: 1},
			{Kind: attempts.ResponseStarted, Attempt: 1},
		})
		Expect(tracker.Next()).To(Equal(attempts.Action{Kind: attempts.Relay, Attempt: 1}))
		Expect(tracker.Apply(attempts.Event{Kind: attempts.ResponseCompleted, Attempt: 1})).To(Succeed())
		Expect(tracker.Next()).To(Equal(attempts.Action{Kind: attempts.Relay, Attempt: 1}))
		Expect(tracker.Apply(attempts.Event{Kind: attempts.OutcomeLost, Attempt: 1})).NotTo(Succeed())
	})

	DescribeTable("the next move", func(repeatable bool, last attempts.EventKind, expected attempts.ActionKind) {
		tracker := replay(attempts.Options{Idempotent: repeatable, MaxAttempts: 3}, []attempts.Event{
			{Kind: attempts.AttemptPlanned, Attempt: 1}, {Kind: attempts.ConnectStarted, Attempt: 1},
		})
		if last != attempts.NotSent {
			Expect(tracker.Apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: 1})).To(Succeed())
		}
		Expect(tracker.Apply(attempts.Event{Kind: last, Attempt: 1})).To(Succeed())
		Expect(tracker.Next().Kind).To(Equal(expected))
	},
		Entry("after an unsent attempt", false, attempts.NotSent, attempts.Dispatch),
		Entry("after a refusal", false, attempts.Refused, attempts.Dispatch),
		Entry("after a lost end", false, attempts.OutcomeLost, attempts.RespondUnknown),
		Entry("after a lost end, repeatable", true, attempts.OutcomeLost, attempts.Dispatch),
		Entry("after a response", false, attempts.ResponseCompleted, attempts.Relay),
	)

	It("names the state in which an event does not fit", func() {
		tracker := replay(attempts.Options{}, []attempts.Event{
			{Kind: attempts.AttemptPlanned, Attempt: 1},
			{Kind: attempts.ConnectStarted, Attempt: 1},
			{Kind: attempts.BytesMayHaveLeft, Attempt: 1},
		})
		err := tracker.Apply(attempts.Event{Kind: attempts.NotSent, Attempt: 1})
		Expect(err).To(BeAssignableToTypeOf(&attempts.TransitionError{}))
		Expect(err).To(MatchError(ContainSubstring("the attempt is sent")))
		Expect(tracker.MayHaveRun()).To(BeTrue())
	})
})

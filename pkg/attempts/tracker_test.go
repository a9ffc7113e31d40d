package attempts_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// sequenceLength is the maximum length of the event sequences that are tested exhaustively.
const sequenceLength = 7

// possibleEvents returns every event that could come next, permitted or not.
func possibleEvents(planned int) []attempts.Event {
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

// backendModel is what may have happened at the back ends, independently of the tracker and
// by its own rules: a request may run once its first byte may have left, unless the back
// end promised not to run it.
type backendModel struct {
	mayRun []bool
	ended  []bool
}

// apply returns the model after an event that the tracker accepted.
func (t backendModel) apply(event attempts.Event) backendModel {
	next := backendModel{mayRun: append([]bool(nil), t.mayRun...), ended: append([]bool(nil), t.ended...)}
	position := event.Attempt - 1
	switch event.Kind {
	case attempts.AttemptPlanned:
		next.mayRun = append(next.mayRun, false)
		next.ended = append(next.ended, false)
	case attempts.BytesMayHaveLeft:
		next.mayRun[position] = true
	case attempts.Refused:
		next.mayRun[position] = false
		next.ended[position] = true
	case attempts.NotSent, attempts.ResponseCompleted, attempts.OutcomeLost:
		next.ended[position] = true
	}
	return next
}

// possibleRuns counts the attempts that may have run the request.
func (t backendModel) possibleRuns() int {
	runs := 0
	for _, ran := range t.mayRun {
		if ran {
			runs++
		}
	}
	return runs
}

// running counts the attempts that have not ended.
func (t backendModel) running() int {
	count := 0
	for _, finished := range t.ended {
		if !finished {
			count++
		}
	}
	return count
}

// replay returns a tracker to which events were applied, all of which it must accept.
func replay(options attempts.Options, events []attempts.Event) *attempts.Tracker {
	tracker := attempts.New(options)
	for _, event := range events {
		Expect(tracker.Apply(event)).To(Succeed())
	}
	return tracker
}

// visitSequences calls visit for every sequence that begins with events, that the tracker
// accepts and that has at most sequenceLength events. It returns the number of calls.
func visitSequences(options attempts.Options, events []attempts.Event, model backendModel, visit func([]attempts.Event, *attempts.Tracker, backendModel)) int {
	tracker := replay(options, events)
	visit(events, tracker, model)
	visited := 1
	if len(events) == sequenceLength {
		return visited
	}
	for _, event := range possibleEvents(len(model.mayRun)) {
		if replay(options, events).Apply(event) != nil {
			continue
		}
		longer := append(append([]attempts.Event(nil), events...), event)
		visited += visitSequences(options, longer, model.apply(event), visit)
	}
	return visited
}

// formatEvents formats a sequence for a failure message.
func formatEvents(events []attempts.Event) string {
	names := make([]string, len(events))
	for position, event := range events {
		names[position] = event.Kind.String()
	}
	return strings.Join(names, " -> ")
}

var _ = Describe("Tracker", func() {
	DescribeTable("dispatches and responds correctly in every short event sequence", func(idempotent bool) {
		options := attempts.Options{Idempotent: idempotent, MaxAttempts: 3}
		visited := visitSequences(options, nil, backendModel{}, func(events []attempts.Event, tracker *attempts.Tracker, model backendModel) {
			action := tracker.Next()
			if tracker.MayHaveRun() != (model.possibleRuns() > 0) {
				// They may differ only while a connection is being obtained: the tracker
				// then reports that the request may have run.
				Expect(tracker.MayHaveRun()).To(BeTrue(), formatEvents(events))
				Expect(model.running()).To(BeNumerically(">", 0), formatEvents(events))
			}
			if !idempotent && model.possibleRuns() > 1 {
				Fail("the request may have run twice: " + formatEvents(events))
			}
			switch action.Kind {
			case attempts.Dispatch:
				Expect(model.running()).To(BeZero(), formatEvents(events))
				if !idempotent {
					Expect(model.possibleRuns()).To(BeZero(), formatEvents(events))
				}
			case attempts.RespondNotRun:
				Expect(model.running()).To(BeZero(), formatEvents(events))
				Expect(model.possibleRuns()).To(BeZero(), formatEvents(events))
			case attempts.RespondUnknown:
				Expect(model.running()).To(BeZero(), formatEvents(events))
				Expect(model.possibleRuns()).To(BeNumerically(">", 0), formatEvents(events))
			case attempts.RespondDeadline, attempts.Abandon:
				Expect(model.running()).To(BeZero(), formatEvents(events))
			case attempts.Wait, attempts.Cancel:
				Expect(model.running()).To(BeNumerically(">", 0), formatEvents(events))
			}
		})
		Expect(visited).To(BeNumerically(">", 1000))
	},
		Entry("of a request that is not idempotent", false),
		Entry("of an idempotent request", true),
	)

	DescribeTable("resumes or aborts a truncated response in every short event sequence", func(resumable bool) {
		options := attempts.Options{Idempotent: resumable, Resumable: resumable, MaxAttempts: 2}
		resumed, aborted := 0, 0
		visitSequences(options, nil, backendModel{}, func(events []attempts.Event, tracker *attempts.Tracker, model backendModel) {
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
				Fail("the node responds itself after a part of a back end's response was relayed: " + formatEvents(events))
			case attempts.Dispatch:
				resumed++
				Expect(model.running()).To(BeZero(), formatEvents(events))
				Expect(ended).To(BeFalse(), formatEvents(events))
				Expect(action.Attempt).To(BeNumerically("<=", options.MaxAttempts+options.MaxUnsent), formatEvents(events))
			case attempts.AbortRelay:
				aborted++
				Expect(model.running()).To(BeZero(), formatEvents(events))
			}
		})
		Expect(resumed > 0).To(Equal(resumable))
		Expect(aborted).To(BeNumerically(">", 0))
	},
		Entry("of a resumable request", true),
		Entry("of a request that is not resumable", false),
	)

	It("never dispatches again after a part of a response was relayed, unless the request is resumable", func() {
		tracker := replay(attempts.Options{Idempotent: true, MaxAttempts: 3}, []attempts.Event{
			{Kind: attempts.AttemptPlanned, Attempt: 1},
			{Kind: attempts.ConnectStarted, Attempt: 1},
			{Kind: attempts.BytesMayHaveLeft, Attempt: 1},
			{Kind: attempts.ResponseStarted, Attempt: 1},
			{Kind: attempts.OutcomeLost, Attempt: 1},
		})
		Expect(tracker.Next()).To(Equal(attempts.Action{Kind: attempts.AbortRelay, Attempt: 1}))
	})

	It("relays a response until it is complete", func() {
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

	DescribeTable("returns the next action", func(idempotent bool, last attempts.EventKind, expected attempts.ActionKind) {
		tracker := replay(attempts.Options{Idempotent: idempotent, MaxAttempts: 3}, []attempts.Event{
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
		Entry("after a lost outcome", false, attempts.OutcomeLost, attempts.RespondUnknown),
		Entry("after a lost outcome of an idempotent request", true, attempts.OutcomeLost, attempts.Dispatch),
		Entry("after a response", false, attempts.ResponseCompleted, attempts.Relay),
	)

	It("names the state in an error about an event that is not permitted", func() {
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

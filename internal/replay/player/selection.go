package player

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// Bounds of the replay's speed.
const (
	MinSpeed = 1
	MaxSpeed = 100
)

// Selection says which part of a day to replay, and how fast.
type Selection struct {
	// Speed is how many times faster than recorded requests arrive.
	Speed float64
	// From and Until count from the beginning of the day. An Until of 0 means
	// its end.
	From  time.Duration
	Until time.Duration
}

// SelectionError says that a selection cannot be replayed.
type SelectionError struct {
	Message string
}

// Error names the remedy.
func (e *SelectionError) Error() string { return e.Message }

// check returns a *SelectionError for a selection that cannot be replayed.
func (s Selection) check() error {
	if s.Speed < MinSpeed || s.Speed > MaxSpeed {
		return &SelectionError{fmt.Sprintf("the speed %g is impossible: choose one from %d to %d", s.Speed, MinSpeed, MaxSpeed)}
	}
	if s.From < 0 || s.Until < 0 || s.Until != 0 && s.Until <= s.From {
		return &SelectionError{"the part of the day is empty: choose an end after its beginning"}
	}
	return nil
}

// Of returns the records of a day that are selected, with the selection's end
// set. An empty one gives a *SelectionError.
func (s Selection) Of(day *recording.Day) (Selection, []recording.Record, error) {
	if err := s.check(); err != nil {
		return s, nil, err
	}
	if s.Until == 0 {
		s.Until = arrival(day.Records[len(day.Records)-1]) + time.Millisecond
	}
	chosen := lo.Filter(day.Records, func(record recording.Record, _ int) bool {
		at := arrival(record)
		return at >= s.From && at < s.Until
	})
	if len(chosen) == 0 {
		return s, nil, &SelectionError{fmt.Sprintf("no request was recorded from %v until %v: choose another part of the day", s.From, s.Until)}
	}
	return s, chosen, nil
}

// due returns when a record is to be sent, from the beginning of the replay.
func (s Selection) due(record recording.Record) time.Duration {
	return time.Duration(float64(arrival(record)-s.From) / s.Speed)
}

// arrival returns when a request arrived, from the beginning of the day.
func arrival(record recording.Record) time.Duration {
	return time.Duration(record.AtUS) * time.Microsecond
}

package replica

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
)

// Settings configure one stand-in replica. The durations in Feed and those declared
// here are in real time; Links and the other durations in Model are in model time.
type Settings struct {
	// Model is the configuration of the emulated replica, with its address and zone.
	Model emulator.Config
	// TimeScale is the factor by which prefill, decode and transfers are faster than
	// on a real replica.
	TimeScale float64
	Seed      uint64
	// Store is the address of the store to which newly cached chunks are pushed;
	// empty to push none.
	Store string
	Links emulator.LinkModel
	Feed  emulator.FeedPlan
	// ReportEvery is the time between reports in the event stream.
	ReportEvery time.Duration
	WeightLoad  time.Duration
	Restart     time.Duration
	Warming     time.Duration
	ReportDelay time.Duration
}

// DefaultSettings returns the default settings for an emulated replica.
func DefaultSettings(model emulator.Config) Settings {
	return Settings{
		Model:       model,
		TimeScale:   1,
		Links:       emulator.DefaultLinks(2 * time.Millisecond),
		ReportEvery: 250 * time.Millisecond,
		WeightLoad:  model.WeightLoad,
		Restart:     model.Restart,
		Warming:     model.Warming,
		ReportDelay: model.ReportDelay,
	}
}

// Check returns an error if a setting is out of range.
func (s Settings) Check() error {
	if s.TimeScale <= 0 {
		return errors.New("replica: TimeScale must be positive")
	}
	if s.ReportEvery <= 0 {
		return errors.New("replica: ReportEvery must be positive")
	}
	if err := s.Feed.Check(); err != nil {
		return err
	}
	return s.scaledModel().Check()
}

// scaledModel returns the configuration of the model with the real-time durations
// converted to model time.
func (s Settings) scaledModel() emulator.Config {
	model := s.Model
	model.WeightLoad = s.modelTime(s.WeightLoad)
	model.Restart = s.modelTime(s.Restart)
	model.Warming = s.modelTime(s.Warming)
	model.ReportDelay = s.modelTime(s.ReportDelay)
	return model
}

// scaledFeed returns the feed plan with its durations converted to model time.
func (s Settings) scaledFeed() emulator.FeedPlan {
	plan := s.Feed
	plan.Delay = s.modelTime(plan.Delay)
	plan.Jitter = s.modelTime(plan.Jitter)
	plan.ReorderBy = s.modelTime(plan.ReorderBy)
	return plan
}

func (s Settings) modelTime(real time.Duration) time.Duration {
	return time.Duration(float64(real) * s.TimeScale)
}

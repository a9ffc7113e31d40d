package replica

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
)

// Settings describe one stand-in. The times are real ones.
type Settings struct {
	// Model is the machine class with its address and zone.
	Model emulator.Config
	// TimeScale is how many times faster than a real machine prefill, decode and
	// transfers run.
	TimeScale float64
	Seed      uint64
	// Store is the address of the store that made chunks are pushed to; may be
	// empty.
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

// DefaultSettings returns a stand-in of a machine class.
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

// Check returns an error that names a setting out of its range.
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

// scaledModel returns the model's config in the model's time.
func (s Settings) scaledModel() emulator.Config {
	model := s.Model
	model.WeightLoad = s.modelTime(s.WeightLoad)
	model.Restart = s.modelTime(s.Restart)
	model.Warming = s.modelTime(s.Warming)
	model.ReportDelay = s.modelTime(s.ReportDelay)
	return model
}

// scaledFeed returns the feed plan in the model's time.
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

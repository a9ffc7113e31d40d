package bench

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// Settings describe one comparison.
type Settings struct {
	Seed uint64
	Mix  workload.Mix
	// Rate is the model requests per second; 0 means the mix's own.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Replicas and Zones are the size of the fleet.
	Replicas int
	Zones    int
	Machine  emulator.Config
	Links    emulator.LinkModel
	// StoreTokens is the capacity of the fleet's store; 0 means that there is none.
	StoreTokens uint64
	// Feed is the plan of faults and delays of events on their way to the router.
	Feed emulator.FeedPlan
	// ReportEvery is the time between load reports.
	ReportEvery time.Duration
	// ReportLossRatio is the fraction of load reports that are lost, from 0 to 1.
	ReportLossRatio float64
	// Router and Routing configure the prefix-aware policy.
	Router  kvrouter.Options
	Routing kvrouter.Settings
	// ResyncDelay is the time from the request for a reset until it is sent.
	ResyncDelay time.Duration
}

const (
	model         = "model"
	weightVersion = "v1"
	fleetSize     = 18
	// prefillLoadScale weighs a block of prefill against a block of memory. On the
	// emulated machines computing a block takes 3 ms or more, while a block that
	// is in memory adds 0.6 microseconds to each of a few hundred decode steps. The
	// weight is about that ratio. Both deployments' pools set it.
	prefillLoadScale = 16
)

// DefaultSettings returns the comparison on a deployment's fleet, mix and links.
func DefaultSettings(mix workload.Mix, seed uint64) Settings {
	settings := Settings{
		Seed:     seed,
		Mix:      mix,
		Duration: 20 * time.Minute,
		Replicas: fleetSize,
		Zones:    4,
		Machine:  emulator.LargeMemory(),
		Links:    emulator.DefaultLinks(2 * time.Millisecond),
		Feed: emulator.FeedPlan{
			Delay:          100 * time.Millisecond,
			Jitter:         100 * time.Millisecond,
			LossRatio:      0.01,
			DuplicateRatio: 0.01,
			ReorderRatio:   0.02,
			ReorderBy:      200 * time.Millisecond,
		},
		ReportEvery: 500 * time.Millisecond,
		ResyncDelay: 300 * time.Millisecond,
	}
	if mix.Name == workload.Lakeshore {
		settings.Zones = 3
		settings.Machine = emulator.SmallerMemory()
		settings.Links = emulator.DefaultLinks(500 * time.Microsecond)
	}
	settings.Machine.WeightVersion = weightVersion
	settings.Routing = kvrouter.SettingsFrom(&ridgeswitchv1.Routing{PrefillLoadScale: prefillLoadScale})
	// Before it has measured a link, the router assumes the slowest one.
	settings.Router = kvrouter.Options{
		BytesPerToken:      emulator.BytesPerToken,
		LinkBytesPerSecond: settings.Links.CrossZone.BytesPerSecond,
	}
	return settings
}

func (s Settings) check() error {
	if s.Replicas <= 0 || s.Zones <= 0 || s.Duration <= 0 || s.ReportEvery <= 0 {
		return errors.New("bench: Replicas, Zones, Duration and ReportEvery must be positive")
	}
	if s.ReportLossRatio < 0 || s.ReportLossRatio > 1 {
		return errors.Errorf("bench: ReportLossRatio %v must be from 0 to 1", s.ReportLossRatio)
	}
	if err := s.Feed.Check(); err != nil {
		return err
	}
	return s.Machine.Check()
}

// forPolicy returns the settings for a policy: the oracle gets all reports at once,
// whatever happens to those of others.
func (s Settings) forPolicy(name PolicyName) Settings {
	if name != PolicyOracle {
		return s
	}
	s.Feed = emulator.FeedPlan{}
	s.Machine.ReportDelay = 0
	s.ReportLossRatio = 0
	s.Router.PredictionLag = -1
	return s
}

func (s Settings) address(replica int) string { return fmt.Sprintf("replica-%d", replica+1) }

// storeNumber is the number of the store, which follows those of the replicas.
func (s Settings) storeNumber() int { return s.Replicas }

// storeZone is the zone of the store.
func (s Settings) storeZone() string { return s.zone(0) }

func (s Settings) zone(replica int) string { return fmt.Sprintf("zone-%d", replica%s.Zones+1) }

// trace returns the model requests of the comparison.
func (s Settings) trace() ([]workload.Request, error) {
	generator, err := workload.New(s.Mix, workload.Options{
		Seed:      s.Seed,
		Duration:  s.Duration,
		ModelRate: s.Rate,
		WebRate:   -1,
	})
	if err != nil {
		return nil, err
	}
	var requests []workload.Request
	for {
		request, more := generator.Next()
		if !more {
			return requests, nil
		}
		requests = append(requests, request)
	}
}

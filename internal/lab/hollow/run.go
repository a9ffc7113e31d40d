package hollow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
)

// trailTime is how long nodes go on after the time that is measured, so that the
// last changes can be seen to arrive.
const trailTime = 2 * time.Second

// Result is what a run measured. Rates and usage are means of the nodes, over the time
// that was measured.
type Result struct {
	Conditions
	Nodes    int     `json:"nodes"`
	Core     int     `json:"core"`
	Zones    int     `json:"zones"`
	Replicas int     `json:"replicas"`
	Tenants  int     `json:"tenants"`
	Sockets  Sockets `json:"sockets"`
	Seed     uint64  `json:"seed"`
	Stretch  int     `json:"stretch"`
	// Seconds is the time that was measured.
	Seconds float64 `json:"seconds"`
	// StableInRealTime reports whether every node served during all of that time at
	// its own pace, and no change was pending or failed.
	StableInRealTime bool `json:"held_real_time"`
	// Virtual is set if the nodes ran on a virtual clock, on which inputs take
	// no time, and StableInVirtualTime that they were stable as above on it.
	Virtual             bool    `json:"virtual"`
	StableInVirtualTime bool    `json:"held_virtual_time"`
	ConvergedNodes      int     `json:"settled_nodes"`
	ConvergenceMS       float64 `json:"settle_ms"`
	// MaxNotServing is the largest number of nodes that refused traffic at
	// one time while measured.
	MaxNotServing int `json:"most_not_serving"`
	// SamplerLateMS is the longest delay of a timer of the measurement.
	SamplerLateMS float64       `json:"sampler_late_max_ms"`
	FramesDropped uint64        `json:"frames_dropped"`
	Stopped       string        `json:"stopped,omitempty"`
	Spread        Spreading     `json:"configuration"`
	Usage         Usage         `json:"a_node"`
	All           Rates         `json:"all_nodes"`
	CoreNodes     Rates         `json:"core_nodes"`
	FrontNodes    Rates         `json:"front_nodes"`
	Roles         *RoleTimes    `json:"processor_by_role,omitempty"`
	Index         *IndexFigures `json:"index,omitempty"`
}

// Run runs hollow nodes and measures them. The result is valid as far as it
// goes also when Stopped is set.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go guardMemory(ctx, settings.MemoryLimit, end)
	result := newResult(settings)
	measureNodes := measureFleet
	if settings.Virtual {
		measureNodes = measureVirtualFleet
	}
	if err := measureNodes(ctx, settings, result); err != nil {
		return nil, err
	}
	if settings.IndexDuration > 0 && ctx.Err() == nil {
		figures := measureIndex(ctx, settings)
		result.Index = &figures
	}
	if ctx.Err() != nil {
		result.Stopped = context.Cause(ctx).Error()
		result.StableInRealTime = false
		result.StableInVirtualTime = false
	}
	result.LoadAfter = loadAverage()
	return result, nil
}

func newResult(settings Settings) *Result {
	return &Result{
		Conditions: conditionsNow(),
		Nodes:      settings.Nodes,
		Core:       settings.Core,
		Zones:      settings.Zones,
		Replicas:   settings.Replicas,
		Tenants:    settings.Tenants,
		Sockets:    settings.Sockets,
		Seed:       settings.Seed,
		Stretch:    settings.Stretch,
		Virtual:    settings.Virtual,
	}
}

// measureFleet starts the nodes, waits until they serve and measures them.
func measureFleet(ctx context.Context, settings Settings, result *Result) error {
	usage := newUsageMeter(settings.Nodes)
	nodes, err := newFleet(settings, clock.SinceBoot, func(receive deliver) (network, error) { //nolint:contextcheck // the nodes listen until the fleet is closed, which this function does itself
		return newTransportNetwork(settings, receive)
	})
	if err != nil {
		return err
	}
	defer nodes.stop()
	started := time.Now()
	starting, cancel := context.WithTimeout(ctx, settings.ConvergenceTimeout)
	defer cancel()
	if err := nodes.startUntil(ctx, starting); err != nil {
		return result.startFailure(ctx, err)
	}
	result.ConvergedNodes = nodes.awaitConvergence(starting)
	result.ConvergenceMS = float64(time.Since(started).Milliseconds())
	if ctx.Err() == nil {
		result.measure(ctx, nodes, usage)
	}
	return nil
}

// startFailure returns the error of a start, or nil if the memory limit ended the run:
// its result is kept.
func (r *Result) startFailure(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrMemory) {
		return nil
	}
	return err
}

// measure watches the nodes for the time of the settings.
func (r *Result) measure(ctx context.Context, nodes *fleet, usage *usageMeter) {
	window, endWindow := context.WithTimeout(ctx, nodes.settings.Duration)
	defer endWindow()
	watching, endWatching := context.WithCancel(ctx)
	watched := newSpread(nodes.nodes)
	watcher := make(chan struct{})
	go func() {
		defer close(watcher)
		watched.run(watching, nodes.clock)
	}()
	made := make(chan []change, 1)
	go func() { made <- newChanges(nodes).run(window) }()

	before := nodes.readings()
	startedAt := time.Now()
	usage.begin()
	<-window.Done()
	elapsed := time.Since(startedAt)
	r.Usage = usage.processor(elapsed)
	after := nodes.readings()

	submitted := <-made
	trail, endTrail := context.WithTimeout(ctx, trailTime)
	defer endTrail()
	<-trail.Done()
	endWatching()
	<-watcher
	r.Usage = usage.memory(r.Usage)
	r.FramesDropped = nodes.network.dropped()
	r.conclude(nodes.settings, elapsed, before, after)
	r.judge(watched, submitted)
}

// conclude sets the rates of each role, from the readings before and after.
func (r *Result) conclude(settings Settings, elapsed time.Duration, before, after []reading) {
	for number := range after {
		after[number] = after[number].minus(before[number])
	}
	r.Seconds = elapsed.Seconds()
	r.All = ratesOf(after, elapsed)
	r.CoreNodes = ratesOf(after[:settings.Core], elapsed)
	r.FrontNodes = ratesOf(after[settings.Core:], elapsed)
}

// judge sets how the changes spread, and whether the nodes were stable.
func (r *Result) judge(watched *spread, submitted []change) {
	r.Spread = watched.judge(submitted)
	r.MaxNotServing = watched.notServing
	r.SamplerLateMS = float64(watched.late) / float64(time.Millisecond)
	stable := r.ConvergedNodes == r.Nodes && r.MaxNotServing == 0 &&
		r.Spread.Failed == 0 && r.Spread.Pending == 0 && r.Spread.NotEverywhere == 0
	r.StableInRealTime = stable && !r.Virtual && r.Stretch == 1
	r.StableInVirtualTime = stable && r.Virtual
}

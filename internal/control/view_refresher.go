package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// viewRefresher owns the builder of views, and records whether the newest view is stale.
type viewRefresher struct {
	builder *view.Builder
	stale   bool
}

func newViewRefresher(config Config) *viewRefresher {
	builder := view.NewBuilder(view.Config{
		ServiceShards:       config.ServiceShards,
		ReplicasFinishFirst: config.ReplicasFinishFirst,
		WeightsDeadline:     config.Times.WeightsDeadline,
	})
	return &viewRefresher{builder: builder, stale: true}
}

// invalidate marks the view as stale, so that it is rebuilt at the end of the input.
func (v *viewRefresher) invalidate() { v.stale = true }

// checkDeadlines invalidates the view if the deadline of a weight version has passed between
// two ticks.
func (v *viewRefresher) checkDeadlines(before, now time.Duration) {
	v.stale = v.stale || v.builder.DeadlinePassed(before, now)
}

// refresh returns a new view, or nil if the newest one is not stale.
func (v *viewRefresher) refresh(now time.Duration, inputs view.Inputs) *routing.View {
	if !v.stale {
		return nil
	}
	v.stale = false
	return v.builder.Build(now, inputs)
}

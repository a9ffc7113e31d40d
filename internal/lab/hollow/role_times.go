package hollow

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
)

// RoleTimes are the processor times of nodes by role, in percent of a core a
// node. Garbage collection in the background is not in them.
type RoleTimes struct {
	Core    float64 `json:"core_percent"`
	Front   float64 `json:"front_percent"`
	Busiest float64 `json:"busiest_percent"`
	// Kinds are what receiving each kind of message took, a node, and what it
	// caused to be sent. Ticks are under "tick".
	CoreKinds  map[string]float64 `json:"core_percent_by_kind"`
	FrontKinds map[string]float64 `json:"front_percent_by_kind"`
}

// processorTimes are the processor times so far of each node.
type processorTimes []nodeTimes

type nodeTimes struct {
	all, ticks time.Duration
	kinds      [wire.KindCount]time.Duration
}

func (f *virtualFleet) roleTimes() processorTimes {
	times := make(processorTimes, len(f.nodes))
	for number, one := range f.nodes {
		times[number] = nodeTimes{all: one.used, ticks: one.usedTick, kinds: one.usedKind}
	}
	return times
}

// since works out the shares of the time that was measured.
func (u processorTimes) since(earlier processorTimes, settings Settings) *RoleTimes {
	for number := range u {
		u[number] = u[number].minus(earlier[number])
	}
	percent := func(used time.Duration) float64 { return 100 * used.Seconds() / settings.Duration.Seconds() }
	core, front := u[:settings.Core], u[settings.Core:]
	times := &RoleTimes{
		Core:       percent(core.mean().all),
		Front:      percent(front.mean().all),
		CoreKinds:  core.mean().byKind(percent),
		FrontKinds: front.mean().byKind(percent),
	}
	for _, one := range u {
		times.Busiest = max(times.Busiest, percent(one.all))
	}
	return times
}

func (u processorTimes) mean() nodeTimes {
	var sum nodeTimes
	if len(u) == 0 {
		return sum
	}
	for _, one := range u {
		sum.all += one.all
		sum.ticks += one.ticks
		for of := range wire.KindCount {
			sum.kinds[of] += one.kinds[of]
		}
	}
	count := time.Duration(len(u))
	sum.all /= count
	sum.ticks /= count
	for of := range wire.KindCount {
		sum.kinds[of] /= count
	}
	return sum
}

func (t nodeTimes) minus(earlier nodeTimes) nodeTimes {
	t.all -= earlier.all
	t.ticks -= earlier.ticks
	for of := range wire.KindCount {
		t.kinds[of] -= earlier.kinds[of]
	}
	return t
}

func (t nodeTimes) byKind(percent func(time.Duration) float64) map[string]float64 {
	percents := map[string]float64{"tick": percent(t.ticks)}
	for of := range wire.KindCount {
		if t.kinds[of] > 0 {
			percents[of.String()] = percent(t.kinds[of])
		}
	}
	return percents
}

package hollow

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
)

// RoleTimes are the processor times of nodes by role, in percent of a core, as means of
// the nodes. Garbage collection in the background is not in them.
type RoleTimes struct {
	Core    float64 `json:"core_percent"`
	Front   float64 `json:"front_percent"`
	Busiest float64 `json:"busiest_percent"`
	// CoreKinds and FrontKinds are what each kind of message took when it was received,
	// with all that it caused to be sent. Ticks are under "tick".
	CoreKinds  map[string]float64 `json:"core_percent_by_kind"`
	FrontKinds map[string]float64 `json:"front_percent_by_kind"`
}

// processorTimes are the processor times so far of each node.
type processorTimes []nodeTimes

type nodeTimes struct {
	all, ticks time.Duration
	kinds      [wire.KindCount]time.Duration
}

func (f *virtualFleet) processorTimes() processorTimes {
	times := make(processorTimes, len(f.nodes))
	for number, node := range f.nodes {
		times[number] = nodeTimes{all: node.used, ticks: node.usedTick, kinds: node.usedKind}
	}
	return times
}

// since returns the times after an earlier reading, relative to the time that was
// measured. It changes the receiver.
func (p processorTimes) since(earlier processorTimes, settings Settings) *RoleTimes {
	for number := range p {
		p[number] = p[number].minus(earlier[number])
	}
	percent := func(used time.Duration) float64 { return 100 * used.Seconds() / settings.Duration.Seconds() }
	core, front := p[:settings.Core], p[settings.Core:]
	times := &RoleTimes{
		Core:       percent(core.mean().all),
		Front:      percent(front.mean().all),
		CoreKinds:  core.mean().byKind(percent),
		FrontKinds: front.mean().byKind(percent),
	}
	for _, node := range p {
		times.Busiest = max(times.Busiest, percent(node.all))
	}
	return times
}

func (p processorTimes) mean() nodeTimes {
	var sum nodeTimes
	if len(p) == 0 {
		return sum
	}
	for _, node := range p {
		sum.all += node.all
		sum.ticks += node.ticks
		for kind := range wire.KindCount {
			sum.kinds[kind] += node.kinds[kind]
		}
	}
	count := time.Duration(len(p))
	sum.all /= count
	sum.ticks /= count
	for kind := range wire.KindCount {
		sum.kinds[kind] /= count
	}
	return sum
}

func (t nodeTimes) minus(earlier nodeTimes) nodeTimes {
	t.all -= earlier.all
	t.ticks -= earlier.ticks
	for kind := range wire.KindCount {
		t.kinds[kind] -= earlier.kinds[kind]
	}
	return t
}

func (t nodeTimes) byKind(percent func(time.Duration) float64) map[string]float64 {
	percents := map[string]float64{"tick": percent(t.ticks)}
	for kind := range wire.KindCount {
		if t.kinds[kind] > 0 {
			percents[kind.String()] = percent(t.kinds[kind])
		}
	}
	return percents
}

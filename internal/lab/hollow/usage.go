package hollow

import (
	"context"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// guardEvery is the time between two readings of the memory of the process.
const guardEvery = 200 * time.Millisecond

// loadScale is the fixed point of the load averages of the kernel.
const loadScale = 1 << 16

// ErrMemory ends a run that would take too much of the machine's memory.
var ErrMemory = errors.New("the run has reached its memory limit; use fewer nodes, replicas or tenants")

// processorTime is what the process has used, in user and kernel mode.
func processorTime() (user, system time.Duration) {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0, 0
	}
	return time.Duration(usage.Utime.Nano()), time.Duration(usage.Stime.Nano())
}

// loadAverage is the machine's load over the last minute.
func loadAverage() float64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return float64(info.Loads[0]) / loadScale
}

// halfOfMemory is half of the machine's memory, in bytes.
func halfOfMemory() uint64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return DefaultMemoryLimit
	}
	return info.Totalram * uint64(info.Unit) / 2
}

// memoryInUse is what the heap and the stacks hold after a collection.
func memoryInUse() (heap, stacks uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.StackInuse
}

// guardMemory ends the context with ErrMemory once the process holds more than
// the limit, or more than half of the machine's memory.
func guardMemory(ctx context.Context, limit uint64, end context.CancelCauseFunc) {
	limit = min(limit, halfOfMemory())
	ticker := time.NewTicker(guardEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		if stats.Sys-stats.HeapReleased > limit {
			end(ErrMemory)
			return
		}
	}
}

// Usage is what the process used, divided by the number of nodes.
type Usage struct {
	// ProcessorPercent is of one core.
	ProcessorPercent float64 `json:"processor_percent_of_a_core"`
	UserPercent      float64 `json:"user_percent_of_a_core"`
	SystemPercent    float64 `json:"system_percent_of_a_core"`
	HeapBytes        float64 `json:"heap_bytes"`
	StackBytes       float64 `json:"stack_bytes"`
	Goroutines       float64 `json:"goroutines"`
	// ProcessCores is what all nodes together used, in cores.
	ProcessCores float64 `json:"process_cores"`
}

// usageMeter measures what nodes add to the usage of the process.
type usageMeter struct {
	nodes int
	// heap and stacks, in bytes, and goroutinesBefore are from before the nodes were made.
	heap, stacks     uint64
	goroutinesBefore int
	// user and system are the processor times at begin.
	user, system time.Duration
}

// newUsageMeter is made before the nodes are.
func newUsageMeter(nodes int) *usageMeter {
	meter := &usageMeter{nodes: nodes, goroutinesBefore: runtime.NumGoroutine()}
	meter.heap, meter.stacks = memoryInUse()
	return meter
}

// begin starts to measure processor time.
func (m *usageMeter) begin() {
	m.user, m.system = processorTime()
}

// processor ends the measurement of processor time. elapsed is the time since begin on
// the nodes' clock.
func (m *usageMeter) processor(elapsed time.Duration) Usage {
	user, system := processorTime()
	cores := func(used time.Duration) float64 { return used.Seconds() / elapsed.Seconds() }
	perNode := 100 / float64(m.nodes)
	return Usage{
		UserPercent:      cores(user-m.user) * perNode,
		SystemPercent:    cores(system-m.system) * perNode,
		ProcessorPercent: cores(user-m.user+system-m.system) * perNode,
		ProcessCores:     cores(user - m.user + system - m.system),
	}
}

// memory adds what the nodes hold now.
func (m *usageMeter) memory(usage Usage) Usage {
	heap, stacks := memoryInUse()
	nodes := float64(m.nodes)
	usage.HeapBytes = (float64(heap) - float64(m.heap)) / nodes
	usage.StackBytes = (float64(stacks) - float64(m.stacks)) / nodes
	usage.Goroutines = float64(runtime.NumGoroutine()-m.goroutinesBefore) / nodes
	return usage
}

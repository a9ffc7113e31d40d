package proxybench

// TargetName names what was measured.
type TargetName string

// The targets.
const (
	// TargetDirect is no proxy at all.
	TargetDirect TargetName = "direct"
	// TargetForwarder is the bare net/http forwarder.
	TargetForwarder TargetName = "forwarder"
	// TargetNode is a node's data plane.
	TargetNode TargetName = "node"
)

// TargetResult is what was measured of one target, over all rounds.
type TargetResult struct {
	Target TargetName `json:"target"`
	// RequestsPerSecond is the median over the rounds at saturation.
	RequestsPerSecond float64 `json:"rps"`
	// ProcessorMicroseconds is the processor time of a request at saturation,
	// that of callers and replicas included; the median over the rounds.
	ProcessorMicroseconds float64 `json:"cpu_us"`
	// HalfLoadPerSecond is the median rate of the half loads, half of the
	// target's own saturation in the same round.
	HalfLoadPerSecond float64 `json:"half_load_rps"`
	HalfLoadP50MS     float64 `json:"half_load_p50_ms"`
	HalfLoadP99MS     float64 `json:"half_load_p99_ms"`
}

// Summary compares the node with the forwarder.
type Summary struct {
	Rounds int `json:"rounds"`
	// ThroughputRatio is the median over the rounds of the node's throughput
	// over the forwarder's.
	ThroughputRatio float64 `json:"throughput_ratio"`
	// ProcessorRatio is the forwarder's own processor time for a request over
	// the node's own: the ratio of throughputs if nothing else took time.
	ProcessorRatio float64 `json:"own_cpu_ratio"`
	// AddedP50MS and AddedP99MS are the node's latency beyond the
	// forwarder's, both at half of the node's saturation; medians over the
	// rounds.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
}

// Report is the outcome of a measurement.
type Report struct {
	Targets []TargetResult
	Summary Summary
}

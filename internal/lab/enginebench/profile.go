package enginebench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Engine is how a replica runs requests. Times are in milliseconds, sizes in tokens
// but for BytesPerToken, and rates of links in bits per second.
type Engine struct {
	// Slots is how many requests run at once.
	Slots        int
	MemoryTokens int
	// StepBase is the time of a step, and StepPerSlot what each running request adds.
	StepBase    float64
	StepPerSlot float64
	// ContextPerThousand is the time per step and thousand tokens of context.
	ContextPerThousand float64
	// PrefillTokens is the number of tokens of prompts that are read in a millisecond.
	PrefillTokens float64
	// PairsPerMillion is the time for a million pairs of a read token and one
	// before it.
	PairsPerMillion float64
	// FirstEvent is the time from a token to the event with it.
	FirstEvent float64
	// Stride is the number of tokens in an event.
	Stride int
	// PrefillChunk is how many tokens of prompts are read in one step.
	PrefillChunk  int
	BytesPerToken float64
	// LinkBitsPerSecond and StoreBitsPerSecond are the rates of a replica's link and of the store's.
	LinkBitsPerSecond  float64
	StoreBitsPerSecond float64
	StoreTokens        int
	// TransferSetup is added to the time of each transfer.
	TransferSetup float64
}

// Class is a class of requests.
type Class struct {
	Name string
	// RequestsPerSecond is the rate at a load of 1.
	RequestsPerSecond float64
	// Shared are the chunks that requests share.
	Shared []SharedChunk
	// Unshared is the mean length of the last chunk, which no other request has, in
	// tokens, with the spread of its logarithm and the largest length.
	Unshared, UnsharedSpread, UnsharedMax float64
	// OutputTokens is the mean length of the output, with the spread of its logarithm.
	OutputTokens, OutputSpread float64
	// LatencyTarget and Deadline are for the first event. A request is worth Value
	// within the target, LateValue within the deadline, and nothing after.
	LatencyTarget, Deadline time.Duration
	Value, LateValue        float64
	// Priority is the rank at the replica; 0 is the most urgent.
	Priority uint8
}

// SharedChunk is a chunk of prompts that is drawn from a number of variants. Tokens is
// its mean length, with the spread of its logarithm and the largest length.
type SharedChunk struct {
	Variants int
	// Skew is the exponent of the Zipf law by which a variant is drawn.
	Skew                float64
	Tokens, Spread, Max float64
}

// Profile is a fleet and its requests.
type Profile struct {
	Name     string
	Engine   Engine
	Replicas int
	Zones    int
	// Slowness are the factors by which steps take longer; each replica draws one.
	Slowness []float64
	Nodes    int
	Classes  []Class
}

func harborEngine() Engine {
	return Engine{
		Slots: 64, MemoryTokens: 164044, StepBase: 4.63, StepPerSlot: 0.153,
		ContextPerThousand: 0.00275, PrefillTokens: 37.9, PairsPerMillion: 0.248, FirstEvent: 19,
		Stride: 5, PrefillChunk: 2048, BytesPerToken: 18432, LinkBitsPerSecond: 370e9, StoreBitsPerSecond: 37e9,
		StoreTokens: 2_309_790, TransferSetup: 5,
	}
}

func oneLongChunk(variants int) []SharedChunk {
	return []SharedChunk{{Variants: variants, Skew: 0.3, Tokens: 13300, Spread: 0.7, Max: 39900}}
}

func twoChunks(variants int) []SharedChunk {
	return []SharedChunk{
		{Variants: 4, Tokens: 2520, Spread: 0.4, Max: 6290},
		{Variants: variants, Skew: 0.3, Tokens: 3780, Spread: 0.7, Max: 11300},
	}
}

func shortChunks(groups, variants int) []SharedChunk {
	return []SharedChunk{
		{Variants: groups, Tokens: 210, Spread: 0.4, Max: 524},
		{Variants: variants, Skew: 0.3, Tokens: 140, Spread: 0.7, Max: 419},
	}
}

// wideProfile is a fleet of many replicas that read quickly, with links on which a
// chunk takes longer than to be computed, few slots and large chunks.
func wideProfile() Profile {
	return Profile{
		Name: "wide", Replicas: 90, Zones: 5, Nodes: 60, Slowness: []float64{1},
		Engine: Engine{
			Slots: 48, MemoryTokens: 168_384, StepBase: 3.29, ContextPerThousand: 0.0262,
			PrefillTokens: 93, PairsPerMillion: 0.442, FirstEvent: 80,
			Stride: 8, PrefillChunk: 2048, BytesPerToken: 131072, LinkBitsPerSecond: 69e9, StoreBitsPerSecond: 670e9,
			StoreTokens: 4_047_750, TransferSetup: 4,
		},
		Classes: []Class{
			{Name: "long", RequestsPerSecond: 70, Shared: oneLongChunk(428), Unshared: 3720, UnsharedSpread: 1.1, UnsharedMax: 53200, OutputTokens: 15, OutputSpread: 1.4, LatencyTarget: 800 * time.Millisecond, Deadline: 8 * time.Second, Value: 2, LateValue: 0.6, Priority: 1},
			{Name: "middle", RequestsPerSecond: 63, Shared: twoChunks(587), Unshared: 2890, UnsharedSpread: 1, UnsharedMax: 39600, OutputTokens: 7, OutputSpread: 1.4, LatencyTarget: 600 * time.Millisecond, Deadline: 4 * time.Second, Value: 3, LateValue: 0.9, Priority: 0},
			{Name: "short", RequestsPerSecond: 131, Shared: shortChunks(16, 1220), Unshared: 1110, UnsharedSpread: 1, UnsharedMax: 3790, OutputTokens: 22, OutputSpread: 0.9, LatencyTarget: 500 * time.Millisecond, Deadline: 8 * time.Second, Value: 1, LateValue: 0.3, Priority: 2},
		},
	}
}

// Profiles returns the fleets of the comparison: one with more memory and speed and
// longer latency targets, one with less, and a wide one.
func Profiles() []Profile {
	large := harborEngine()
	large.MemoryTokens = 188_939
	large.StepBase, large.StepPerSlot = 6.55, 0.2
	large.PrefillTokens, large.BytesPerToken = 62.4, 35136
	large.LinkBitsPerSecond, large.StoreBitsPerSecond = 740e9, 74e9
	large.StoreTokens = 2_600_000
	return []Profile{
		{
			Name: "large", Engine: large, Replicas: 18, Zones: 4, Nodes: 9, Slowness: []float64{1, 1, 1.3},
			Classes: []Class{
				{Name: "long", RequestsPerSecond: 18.9, Shared: oneLongChunk(94), Unshared: 3720, UnsharedSpread: 1.1, UnsharedMax: 53200, OutputTokens: 40, OutputSpread: 1.4, LatencyTarget: time.Second, Deadline: 12 * time.Second, Value: 3, LateValue: 0.9, Priority: 0},
				{Name: "middle", RequestsPerSecond: 15.3, Shared: twoChunks(66), Unshared: 2890, UnsharedSpread: 1, UnsharedMax: 39600, OutputTokens: 17, OutputSpread: 1.4, LatencyTarget: 1500 * time.Millisecond, Deadline: 6 * time.Second, Value: 2, LateValue: 0.6, Priority: 1},
				{Name: "short", RequestsPerSecond: 20.5, Shared: shortChunks(40, 155), Unshared: 1110, UnsharedSpread: 1, UnsharedMax: 3790, OutputTokens: 57, OutputSpread: 0.9, LatencyTarget: 2 * time.Second, Deadline: 15 * time.Second, Value: 1, LateValue: 0.3, Priority: 2},
			},
		},
		{
			Name: "small", Engine: harborEngine(), Replicas: 18, Zones: 3, Nodes: 8, Slowness: []float64{1, 1, 1.3},
			Classes: []Class{
				{Name: "long", RequestsPerSecond: 13.3, Shared: oneLongChunk(94), Unshared: 3720, UnsharedSpread: 1.1, UnsharedMax: 53200, OutputTokens: 24, OutputSpread: 1.4, LatencyTarget: time.Second, Deadline: 10 * time.Second, Value: 2, LateValue: 0.6, Priority: 1},
				{Name: "middle", RequestsPerSecond: 9.4, Shared: twoChunks(66), Unshared: 2890, UnsharedSpread: 1, UnsharedMax: 39600, OutputTokens: 10, OutputSpread: 1.4, LatencyTarget: 800 * time.Millisecond, Deadline: 5 * time.Second, Value: 3, LateValue: 0.9, Priority: 0},
				{Name: "short", RequestsPerSecond: 14.7, Shared: shortChunks(40, 155), Unshared: 1110, UnsharedSpread: 1, UnsharedMax: 3790, OutputTokens: 34, OutputSpread: 0.9, LatencyTarget: 600 * time.Millisecond, Deadline: 10 * time.Second, Value: 1, LateValue: 0.3, Priority: 2},
			},
		},
		wideProfile(),
	}
}

// DrawnProfiles returns fleets with drawn sizes and speeds, by which no setting of the
// router was tuned. Equal seeds draw equal fleets.
func DrawnProfiles(seed uint64, count int) []Profile {
	random := rand.New(rand.NewPCG(seed, drawnStream))
	between := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }
	var profiles []Profile
	for number := range count {
		drawn := Profiles()[random.IntN(len(Profiles()))]
		drawn.Name = fmt.Sprintf("drawn %d.%d", seed, number)
		drawn.Zones = 2 + random.IntN(5)
		drawn.Replicas = drawn.Zones * int(between(3, 9))
		drawn.Nodes = drawn.Zones * (1 + random.IntN(4))
		engine := &drawn.Engine
		scale := between(0.6, 1.6)
		engine.PrefillTokens *= scale
		engine.StepBase *= between(0.7, 1.4)
		engine.Slots = int(between(16, 96))
		engine.MemoryTokens = int(between(100_000, 300_000))
		engine.BytesPerToken = between(10_000, 160_000)
		engine.LinkBitsPerSecond = between(30e9, 800e9)
		engine.StoreBitsPerSecond = between(0.1, 8) * engine.LinkBitsPerSecond
		engine.StoreTokens = int(between(0.5, 30) * float64(engine.MemoryTokens))
		scaleOfFleet := float64(drawn.Replicas) / drawnReplicas * scale
		drawn.Classes = slices.Clone(drawn.Classes)
		perReplica := between(1.5, 2.5)
		sum := lo.SumBy(drawn.Classes, func(class Class) float64 { return class.RequestsPerSecond })
		for position := range drawn.Classes {
			class := &drawn.Classes[position]
			class.RequestsPerSecond *= perReplica * drawnReplicas * scaleOfFleet / sum
		}
		profiles = append(profiles, drawn)
	}
	return profiles
}

const (
	// drawnStream separates the draws of fleets from others of the same seed.
	drawnStream = 17
	// drawnReplicas is the number of replicas to which the rates of the classes relate.
	drawnReplicas = 18.0
)

package enginebench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// arrival is one request as it arrives at a router.
type arrival struct {
	arrivedAt time.Duration
	class     *Class
	// node is the number of the router that it arrives at.
	node int
	// chunks are its prompt; the last one belongs to it alone.
	chunks       []prefixindex.Chunk
	outputTokens int
}

func (a *arrival) promptTokens() int {
	tokens := 0
	for _, chunk := range a.chunks {
		tokens += int(chunk.Tokens)
	}
	return tokens
}

// logNormal draws from a log-normal distribution with a mean, and the standard deviation
// spread of its logarithm. What it draws is at least 1 and at most highest; without a
// spread it is the mean.
func logNormal(random *rand.Rand, mean, spread, highest float64) int {
	if spread == 0 {
		return int(mean)
	}
	value := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return int(max(1, min(value, highest)))
}

// drawVariant draws one of a number of variants, by a Zipf law with the exponent skew.
func drawVariant(random *rand.Rand, variants int, skew float64) int {
	sum := 0.0
	for variant := range variants {
		sum += math.Pow(float64(variant+1), -skew)
	}
	remaining := random.Float64() * sum
	for variant := range variants {
		remaining -= math.Pow(float64(variant+1), -skew)
		if remaining < 0 {
			return variant
		}
	}
	return variants - 1
}

// The load of each class varies around its mean as a sine does: by waveHeight of the
// mean, once in wavePeriod, with classes out of phase.
const (
	waveHeight = 0.2
	wavePeriod = 11 * time.Second
)

// workload draws the arrivals of all classes, in the order of their times.
func workload(profile *Profile, load float64, duration time.Duration, seed uint64) []*arrival {
	random := rand.New(rand.NewPCG(seed, workloadStream))
	sizes := map[string]uint32{}
	var arrivals []*arrival
	for position := range profile.Classes {
		class := &profile.Classes[position]
		for at := time.Duration(0); ; {
			wave := 1 + waveHeight*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds()+float64(position))
			at += time.Duration(random.ExpFloat64() / (class.RequestsPerSecond * load * wave) * float64(time.Second))
			if at >= duration {
				break
			}
			arrivals = append(arrivals, draw(random, class, at, profile.Nodes, sizes))
		}
	}
	slices.SortFunc(arrivals, func(a, b *arrival) int { return int(a.arrivedAt - b.arrivedAt) })
	for number, arrival := range arrivals {
		last := &arrival.chunks[len(arrival.chunks)-1]
		last.ID = fmt.Sprint("own-", number)
	}
	return arrivals
}

// draw draws one request of a class. sizes are the lengths of the shared chunks that
// were drawn so far, by ID.
func draw(random *rand.Rand, class *Class, at time.Duration, nodes int, sizes map[string]uint32) *arrival {
	drawn := &arrival{arrivedAt: at, class: class, node: random.IntN(nodes)}
	// The variant of the last shared chunk determines those before it.
	deepest := class.Shared[len(class.Shared)-1]
	variant := drawVariant(random, deepest.Variants, deepest.Skew)
	for level, shared := range class.Shared {
		name := fmt.Sprint(class.Name, "/", level, ".", variant%shared.Variants)
		if _, drawnBefore := sizes[name]; !drawnBefore {
			sizes[name] = uint32(logNormal(random, shared.Tokens, shared.Spread, shared.Max))
		}
		drawn.chunks = append(drawn.chunks, prefixindex.Chunk{ID: name, Tokens: sizes[name]})
	}
	unshared := logNormal(random, class.Unshared, class.UnsharedSpread, class.UnsharedMax)
	drawn.chunks = append(drawn.chunks, prefixindex.Chunk{Tokens: uint32(unshared)})
	drawn.outputTokens = logNormal(random, class.OutputTokens, class.OutputSpread, 4*class.OutputTokens)
	return drawn
}

package kvrouter

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// costTolerance is the difference, in blocks, up to which costs count as equal.
const costTolerance = 1e-6

// chooseScored returns the index of the selected candidate. There is at least one scored
// candidate. The hash identifies the prompt and breaks ties.
func chooseScored(req *Request, scored []scoredCandidate, hash prefixindex.ChainHash) int {
	if req.Settings.Temperature > 0 && req.Random != nil {
		return sample(req.Settings.Temperature, scored, req.Random)
	}
	best := 0
	for i := 1; i < len(scored); i++ {
		if better(&scored[i], &scored[best], hash) {
			best = i
		}
	}
	return best
}

// better reports whether a is to be preferred to b: the candidate with the lower cost, at equal
// cost the one with fewer active requests, and then the one with the lower hash of address and
// prompt. The hash spreads ties over the replicas but sends one prompt to the same replica on
// every router.
func better(a, b *scoredCandidate, hash prefixindex.ChainHash) bool {
	if math.Abs(a.cost-b.cost) > costTolerance {
		return a.cost < b.cost
	}
	if a.activeRequests != b.activeRequests {
		return a.activeRequests < b.activeRequests
	}
	return tieHash(a.candidate.Address, hash) < tieHash(b.candidate.Address, hash)
}

func tieHash(address string, hash prefixindex.ChainHash) uint64 {
	var buffer [128]byte
	binary.BigEndian.PutUint64(buffer[:8], uint64(hash))
	return xxhash.Sum64(append(buffer[:8], address...))
}

// sample draws a candidate by a softmax over the negated costs. The costs are scaled to the
// range from the lowest to the highest, so that the temperature has the same effect at any
// load.
func sample(temperature float64, scored []scoredCandidate, random *rand.Rand) int {
	lowest, highest := costRange(scored)
	if highest-lowest <= costTolerance {
		return random.IntN(len(scored))
	}
	weight := func(i int) float64 {
		normalized := (scored[i].cost - lowest) / (highest - lowest)
		return math.Exp(-normalized / temperature)
	}
	sum := 0.0
	for i := range scored {
		sum += weight(i)
	}
	remaining := random.Float64() * sum
	for i := range scored {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return len(scored) - 1
}

func costRange(scored []scoredCandidate) (lowest, highest float64) {
	lowest, highest = math.Inf(1), math.Inf(-1)
	for i := range scored {
		lowest = min(lowest, scored[i].cost)
		highest = max(highest, scored[i].cost)
	}
	return lowest, highest
}

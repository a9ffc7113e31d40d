package kvrouter

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// costTolerance is the difference, in blocks, below which costs are equal.
const costTolerance = 1e-6

// choose returns the position of the replica to take among the scored ones, of
// which there is at least one.
func choose(settings Settings, scored []scoredCandidate, prompt prefixindex.ChainHash, random *rand.Rand) int {
	if settings.Temperature > 0 && random != nil {
		return sample(settings.Temperature, scored, random)
	}
	best := 0
	for at := range scored[1:] {
		if better(&scored[at+1], &scored[best], prompt) {
			best = at + 1
		}
	}
	return best
}

// better tells whether a goes before b. Equal costs are decided by the active
// requests, and those by a hash of address and prompt, so that ties spread over
// the replicas but one prompt falls to the same replica on every router.
func better(a, b *scoredCandidate, prompt prefixindex.ChainHash) bool {
	if math.Abs(a.cost-b.cost) > costTolerance {
		return a.cost < b.cost
	}
	if a.activeRequests != b.activeRequests {
		return a.activeRequests < b.activeRequests
	}
	return tieHash(a.candidate.Address, prompt) < tieHash(b.candidate.Address, prompt)
}

func tieHash(address string, prompt prefixindex.ChainHash) uint64 {
	var buffer [128]byte
	binary.BigEndian.PutUint64(buffer[:8], uint64(prompt))
	return xxhash.Sum64(append(buffer[:8], address...))
}

// sample draws by a softmax over the costs, scaled to the range from the lowest
// to the highest so that the temperature means the same at any load.
func sample(temperature float64, scored []scoredCandidate, random *rand.Rand) int {
	lowest, highest := costRange(scored)
	if highest-lowest <= costTolerance {
		return random.IntN(len(scored))
	}
	weight := func(at int) float64 {
		normalized := (scored[at].cost - lowest) / (highest - lowest)
		return math.Exp(-normalized / temperature)
	}
	sum := 0.0
	for at := range scored {
		sum += weight(at)
	}
	remaining := random.Float64() * sum
	for at := range scored {
		remaining -= weight(at)
		if remaining < 0 {
			return at
		}
	}
	return len(scored) - 1
}

func costRange(scored []scoredCandidate) (lowest, highest float64) {
	lowest, highest = math.Inf(1), math.Inf(-1)
	for at := range scored {
		lowest = min(lowest, scored[at].cost)
		highest = max(highest, scored[at].cost)
	}
	return lowest, highest
}

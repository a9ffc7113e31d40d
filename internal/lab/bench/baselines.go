package bench

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

// replicaLoad is the load of a replica: the tokens of prompts that have no first token
// yet, and all tokens of its attempts in memory.
type replicaLoad struct {
	prefillTokens  uint64
	reservedTokens uint64
}

// leastLoaded sends each attempt to the replica with the least load, which is exact
// since all attempts pass through the policy. The load is the cost of the prefix-aware
// policy, with the same weight of prefill, but without any credit for overlap.
type leastLoaded struct {
	salts        salts
	loads        []replicaLoad
	prefillScale float64
	// start rotates, so that ties do not all go to the first replica.
	start int
}

func (p *leastLoaded) cost(load replicaLoad) float64 {
	return p.prefillScale*float64(load.prefillTokens) + float64(load.reservedTokens)
}

func (p *leastLoaded) route(_ time.Duration, request *workload.Request) (placement, time.Duration) {
	best := p.start
	for step := range p.loads {
		candidate := (p.start + step) % len(p.loads)
		if p.cost(p.loads[candidate]) < p.cost(p.loads[best]) {
			best = candidate
		}
	}
	p.start = (p.start + 1) % len(p.loads)
	placed := placement{
		replica: best,
		salt:    p.salts.of(request.Tenant, weightVersion),
		prompt:  request.PromptTokens(),
		output:  uint64(request.OutputTokens),
	}
	load := &p.loads[best]
	load.prefillTokens += placed.prompt
	load.reservedTokens += placed.prompt + placed.output
	return placed, 0
}

func (p *leastLoaded) firstToken(_ time.Duration, placed *placement) {
	p.loads[placed.replica].prefillTokens -= placed.prompt
}

func (p *leastLoaded) finished(now time.Duration, placed *placement, completed bool) {
	if !completed {
		p.firstToken(now, placed)
	}
	load := &p.loads[placed.replica]
	load.reservedTokens -= placed.prompt + placed.output
}

// roundRobin sends attempts to all replicas in turn.
type roundRobin struct {
	salts    salts
	replicas int
	next     int
}

func (p *roundRobin) route(_ time.Duration, request *workload.Request) (placement, time.Duration) {
	chosen := p.next
	p.next = (p.next + 1) % p.replicas
	return placement{replica: chosen, salt: p.salts.of(request.Tenant, weightVersion)}, 0
}

func (p *roundRobin) firstToken(time.Duration, *placement) {}

func (p *roundRobin) finished(time.Duration, *placement, bool) {}

// uniform sends each attempt to a replica drawn at random.
type uniform struct {
	salts    salts
	replicas int
	random   *rand.Rand
}

func (p *uniform) route(_ time.Duration, request *workload.Request) (placement, time.Duration) {
	chosen := p.random.IntN(p.replicas)
	return placement{replica: chosen, salt: p.salts.of(request.Tenant, weightVersion)}, 0
}

func (p *uniform) firstToken(time.Duration, *placement) {}

func (p *uniform) finished(time.Duration, *placement, bool) {}

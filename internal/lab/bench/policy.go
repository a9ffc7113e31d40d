package bench

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// PolicyName is the name of a policy, as commands and results state it.
type PolicyName string

// The policies.
const (
	PolicyKV          PolicyName = "kv"
	PolicyLeastLoaded PolicyName = "least-loaded"
	PolicyRoundRobin  PolicyName = "round-robin"
	PolicyRandom      PolicyName = "random"
	// PolicyOracle is the router of kv with perfect reports: what replicas report comes
	// with no delay and no loss, and nothing is predicted. It shows what late and lossy
	// reports cost kv.
	PolicyOracle PolicyName = "oracle"
)

// Policies returns all policies in the order of their results.
func Policies() []PolicyName {
	return []PolicyName{PolicyKV, PolicyLeastLoaded, PolicyRoundRobin, PolicyRandom, PolicyOracle}
}

// placement is where a policy sends an attempt.
type placement struct {
	replica int
	salt    string
	// pull is what the replica pulls first, or nil; source is the number of the peer or
	// the store that it pulls from.
	pull   *kvrouter.Pull
	source int

	// reservation is the router's; prompt and output are the tokens that least-loaded
	// counts.
	reservation *kvrouter.Reservation
	prompt      uint64
	output      uint64
}

// policy routes attempts, and is notified of their outcome.
type policy interface {
	// route returns where to send an attempt, or after what time to try again.
	route(now time.Duration, request *workload.Request) (placed placement, retryAfter time.Duration)
	firstToken(now time.Duration, placed *placement)
	finished(now time.Duration, placed *placement, completed bool)
}

// feedReader is a policy that uses the reports of replicas.
type feedReader interface {
	// event returns true when events of a replica were lost and a reset is needed.
	event(now time.Duration, replicaNumber int, event replica.Event) bool
	report(now time.Duration, replicaNumber int, report replica.Report)
	// resyncNeeded returns the replicas from which a reset is needed.
	resyncNeeded(now time.Duration) []int
}

// uniformStream separates the draws of the uniform policy from others of the same seed.
const uniformStream = 0x9a2d

func newPolicy(name PolicyName, settings Settings) policy {
	salts := newSalts(settings.Mix)
	switch name {
	case PolicyKV, PolicyOracle:
		return newPrefixAware(settings, salts)
	case PolicyLeastLoaded:
		return &leastLoaded{
			salts:        salts,
			loads:        make([]replicaLoad, settings.Replicas),
			prefillScale: settings.Routing.PrefillLoadScale,
		}
	case PolicyRoundRobin:
		return &roundRobin{salts: salts, replicas: settings.Replicas}
	default:
		random := rand.New(rand.NewPCG(settings.Seed, uniformStream))
		return &uniform{salts: salts, replicas: settings.Replicas, random: random}
	}
}

// salts gives the cache salt of each tenant's requests, as the nodes do: walled
// tenants each have their own.
type salts struct {
	walled map[string]bool
}

func newSalts(mix workload.Mix) salts {
	walled := map[string]bool{}
	for _, tenant := range mix.Tenants {
		walled[tenant.Name] = tenant.Walled
	}
	return salts{walled: walled}
}

func (s salts) of(tenant, version string) string {
	domain := "shared"
	if s.walled[tenant] {
		domain = "walled/" + tenant
	}
	return replica.CacheSalt(model, version, domain)
}

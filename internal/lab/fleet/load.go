package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

// Names of keys. Every tenant of a deployment has the main and the spare key at the start.
const (
	mainKey  = "main"
	spareKey = "spare"
	// addedKey is the name of the key that the scenario adds.
	addedKey = "added"
)

// Probabilities of what a caller does, from 0 to 1.
const (
	// spareKeyProbability is the probability that a request of the tenant whose spare key
	// is revoked uses that key, before as well as after the revocation.
	spareKeyProbability = 0.4
	// addedKeyProbability is the probability that a request of the tenant with the added
	// key uses that key once callers know it.
	addedKeyProbability = 0.2
	// leaveProbability is the probability that a caller gets a time after which it
	// disconnects, even if the response is not complete.
	leaveProbability = 0.03
	// retryProbability is the probability that a caller retries after a refusal.
	retryProbability = 0.5
)

// maxLeaveAfter bounds the random time after which a caller disconnects, to which 1 ms is
// added.
const maxLeaveAfter = 400 * time.Millisecond

// addedKeyUse is the fraction of the load's duration after which callers use the
// added key. The order that adds the key has been acknowledged by then.
const addedKeyUse = 0.3

// Secret returns the secret of a key of the demonstration. Anybody can derive
// it; real keys are random.
func Secret(deployment, tenant, key string) string {
	return fmt.Sprintf("demo-%s-%s-%s", deployment, tenant, key)
}

// LoadOptions are the parameters of a load.
type LoadOptions struct {
	Seed     uint64
	Duration time.Duration
	// ModelRate is in requests per second.
	ModelRate float64
}

// load converts the generated requests of the deployment's workload mix to jobs of callers.
type load struct {
	deployment *Deployment
	plan       operator.Plan
	options    LoadOptions
	stream     *workload.Generator
	random     *rand.Rand
}

// callerStream is the PCG stream of the callers' random choices. It keeps them independent
// of other generators with the same seed.
const callerStream = 0xca11

// NewLoad returns the load of a deployment. The plan says which keys change
// while it runs.
func NewLoad(deployment *Deployment, plan operator.Plan, options LoadOptions) (caller.Load, error) {
	if len(deployment.Configuration.GetPools()) != 1 || len(deployment.Configuration.GetRoutes()) != 2 {
		return nil, errors.New("a deployment needs one pool and two routes: one to the pool and one to the web service")
	}
	mix, err := workload.ByName(deployment.Topology.Name)
	if err != nil {
		return nil, err
	}
	stream, err := workload.New(mix, workload.Options{
		Seed: options.Seed, Duration: options.Duration,
		ModelRate: options.ModelRate, WebRate: deployment.Topology.WebServices[0].FetchesPerSecond,
	})
	if err != nil {
		return nil, err
	}
	return &load{
		deployment: deployment, plan: plan, options: options, stream: stream,
		random: rand.New(rand.NewPCG(options.Seed, callerStream)),
	}, nil
}

// Next implements caller.Load.
func (load *load) Next() (caller.Job, bool) {
	request, more := load.stream.Next()
	if !more {
		return caller.Job{}, false
	}
	job := caller.Job{
		At:                  request.At,
		Chunks:              request.Chunks,
		OutputTokens:        request.OutputTokens,
		Repeatable:          request.Repeatable,
		Streamed:            request.Streamed,
		Deadline:            request.Deadline,
		RetriesAfterRefusal: load.random.Float64() < retryProbability,
	}
	if load.random.Float64() < leaveProbability {
		job.DisconnectAfter = time.Duration(load.random.Int64N(int64(maxLeaveAfter))) + time.Millisecond
	}
	if request.Web {
		load.directToWeb(&job, request)
	} else {
		load.directToModel(&job, request)
	}
	return job, true
}

func (load *load) directToWeb(job *caller.Job, request workload.Request) {
	job.Service = load.deployment.Topology.WebServices[0].Service
	job.WebService = true
	job.Method = http.MethodGet
	job.Path = request.Path
	job.Host = load.host(func(pool string) bool { return pool == "" })
}

func (load *load) directToModel(job *caller.Job, request workload.Request) {
	pool := load.deployment.Configuration.GetPools()[0]
	job.Service = pool.GetService()
	job.Method = http.MethodPost
	job.Path = replica.PathGenerate
	job.Model = pool.GetModel()
	job.Host = load.host(func(routed string) bool { return routed == pool.GetName() })
	job.Tenant = request.Tenant
	job.Key = load.key(request)
	job.Secret = Secret(load.deployment.Topology.Name, job.Tenant, job.Key)
}

// key chooses the key of a request.
func (load *load) key(request workload.Request) string {
	chance := load.random.Float64()
	addedKnown := request.At > time.Duration(addedKeyUse*float64(load.options.Duration))
	switch {
	case request.Tenant == load.plan.RevokedTenant && chance < spareKeyProbability:
		return load.plan.RevokedKey
	case request.Tenant == load.plan.KeyTenant && addedKnown && chance < addedKeyProbability:
		return load.plan.AddedKey
	default:
		return mainKey
	}
}

// host returns the host of the first route whose pool matches.
func (load *load) host(matches func(pool string) bool) string {
	for _, route := range load.deployment.Configuration.GetRoutes() {
		if matches(route.GetPool()) {
			return route.GetHost()
		}
	}
	return ""
}

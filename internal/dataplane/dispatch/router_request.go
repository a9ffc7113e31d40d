package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// waitDivisor divides the time left until the deadline. The quotient is the maximum time that
// a request may be queued at a replica if all replicas are at capacity.
const waitDivisor = 2

// anonymousDomain is the sharing domain of requests without a key.
const anonymousDomain = "anonymous"

// routerRequest converts the request to a request of the router of pkg/kvrouter.
func (s *poolSelector) routerRequest(r *pendingRequest, pool *routing.Pool, now time.Duration, exclude func(string) bool) kvrouter.Request {
	model := pool.Config.GetModel()
	return kvrouter.Request{
		Now:          now,
		Model:        model,
		Chunks:       r.Parsed.Chunks,
		Naming:       s.options.Naming,
		OutputTokens: r.Parsed.OutputTokens,
		Engine:       engineProfile(pool),
		Priority:     uint8(r.View.Priority(r.Tenant, r.Route)),
		BodyBytes:    len(r.Body),
		Zone:         s.options.Zone,
		MaxWait:      maxWait(r),
		SlowStartAllowed: func(address string) bool {
			return s.options.SlowStart.Allowed(now, pool.Config.GetBackends(), address)
		},
		SaltFor: func(weightVersion string) string {
			return replica.CacheSalt(model, weightVersion, r.sharingDomain(s.options.Source.View()))
		},
		Settings:  routerSettings(pool),
		Store:     pool.Store.GetAddress(),
		StoreZone: pool.Store.GetZone(),
		Exclude:   exclude,
		Random:    s.random(pool.Config.GetRouting().GetTemperature()),
	}
}

// random returns a source of random numbers for one selection, or nil if the temperature is
// not above 0, so that the selection is deterministic.
func (s *poolSelector) random(temperature float64) *rand.Rand {
	if temperature <= 0 {
		return nil
	}
	return rand.New(rand.NewPCG(s.seed, s.randomSources.Add(1)))
}

// sharingDomain returns the tenant's sharing domain in the newest view. The newest view counts
// because the tenant may have been separated from others (WallTenant) while the request
// waited.
func (r *pendingRequest) sharingDomain(view *routing.View) string {
	if view != nil {
		if tenant := view.Tenants[r.KeyDigest]; tenant != nil {
			return tenant.SharingDomain
		}
	}
	if r.Tenant == nil {
		return anonymousDomain
	}
	return r.Tenant.SharingDomain
}

// engineProfile returns the engine profile of a pool for the router, or nil if the
// configuration does not describe the engine.
func engineProfile(pool *routing.Pool) *kvrouter.EngineProfile {
	engine := pool.Config.GetEngine()
	if engine == nil {
		return nil
	}
	return &kvrouter.EngineProfile{
		Slots:                  int(engine.GetSlots()),
		MemoryTokens:           float64(engine.GetMemoryTokens()),
		BytesPerToken:          float64(engine.GetTokenBytes()),
		LinkBitsPerSecond:      engine.GetLinkBitsPerSecond(),
		StoreLinkBitsPerSecond: pool.Store.GetLinkBitsPerSecond(),
		StoreTokens:            float64(pool.Store.GetMemoryTokens()),
	}
}

// routerSettings returns the router settings of a pool: the configured settings, or the
// defaults for pools with or without an engine profile.
func routerSettings(pool *routing.Pool) kvrouter.Settings {
	if pool.Config.GetEngine() == nil || pool.Config.GetRouting() != nil {
		return kvrouter.SettingsFrom(pool.Config.GetRouting())
	}
	return kvrouter.DefaultEngineSettings()
}

// maxWait returns the maximum time that a request may be queued at a replica that is at
// capacity; 0 if the request has no deadline.
func maxWait(r *pendingRequest) time.Duration {
	deadline, bounded := r.Context.Deadline()
	if !bounded {
		return 0
	}
	return time.Until(deadline) / waitDivisor
}

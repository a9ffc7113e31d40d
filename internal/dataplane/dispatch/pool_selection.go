package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// waitDivisor divides the time left until the deadline: the quotient is the longest wait
// at a full replica, if all are full.
const waitDivisor = 2

// anonymousDomain is the sharing domain of requests without a key.
const anonymousDomain = "anonymous"

// selection returns the router's request for the work.
func (b *poolBackend) selection(w *work, pool *routing.Pool, now time.Duration, exclude func(string) bool) kvrouter.Request {
	model := pool.Config.GetModel()
	return kvrouter.Request{
		Now:          now,
		Model:        model,
		Chunks:       w.Parsed.Chunks,
		Naming:       b.options.Naming,
		OutputTokens: w.Parsed.OutputTokens,
		Engine:       engineProfile(pool),
		Priority:     uint8(w.View.Priority(w.Tenant, w.Route)),
		BodyBytes:    len(w.Body),
		Zone:         b.options.Zone,
		MaxWait:      maxWait(w),
		SlowStartAllowed: func(address string) bool {
			return b.options.SlowStart.Allowed(now, pool.Config.GetBackends(), address)
		},
		SaltFor: func(weightVersion string) string {
			return replica.CacheSalt(model, weightVersion, w.sharingDomain(b.options.Source.View()))
		},
		Settings:  routerSettings(pool),
		Store:     pool.Store.GetAddress(),
		StoreZone: pool.Store.GetZone(),
		Exclude:   exclude,
		Random:    b.random(pool.Config.GetRouting().GetTemperature()),
	}
}

// random returns a source of random numbers for one selection, or nil where the
// temperature makes it unnecessary.
func (b *poolBackend) random(temperature float64) *rand.Rand {
	if temperature <= 0 {
		return nil
	}
	return rand.New(rand.NewPCG(b.seed, b.draws.Add(1)))
}

// sharingDomain returns the tenant's domain in the newest view, because a wall
// may have gone up while the request waited.
func (w *work) sharingDomain(view *routing.View) string {
	if view != nil {
		if tenant := view.Tenants[w.KeyDigest]; tenant != nil {
			return tenant.SharingDomain
		}
	}
	if w.Tenant == nil {
		return anonymousDomain
	}
	return w.Tenant.SharingDomain
}

// engineProfile describes a pool's engine to the router, or is nil if the
// configuration does not.
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

// routerSettings returns the router's settings of a pool: the configured ones, or the
// defaults for engines that are described or not.
func routerSettings(pool *routing.Pool) kvrouter.Settings {
	if pool.Config.GetEngine() == nil || pool.Config.GetRouting() != nil {
		return kvrouter.SettingsFrom(pool.Config.GetRouting())
	}
	return kvrouter.DefaultEngineSettings()
}

// maxWait is how long a request may wait at a full replica.
func maxWait(w *work) time.Duration {
	deadline, bounded := w.Context.Deadline()
	if !bounded {
		return 0
	}
	return time.Until(deadline) / waitDivisor
}

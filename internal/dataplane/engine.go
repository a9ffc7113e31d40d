package dataplane

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// waitDivisor divides the time left until the deadline: the quotient is the longest wait
// at a full replica, if all are full.
const waitDivisor = 2

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

// naming returns how the back ends name the chunks of prompts.
func (b *poolBackend) naming() kvrouter.Naming {
	if b.server.options.Edges.Reports != nil {
		return kvrouter.ByID
	}
	return kvrouter.Chained
}

// announceDispatch tells the other nodes where the chunks of a request will be cached.
func (b *poolBackend) announceDispatch(attempt Attempt) {
	if len(attempt.Generation.Chunks) == 0 {
		return
	}
	generation := attempt.Generation
	dispatch := gossip.Dispatch{
		Address: attempt.Address,
		Links:   b.naming().Links(generation.Model, generation.CacheSalt, generation.Chunks),
	}
	b.server.updates.AddDispatch(dispatch)
	if generation.SaveTo != "" {
		dispatch.Address = generation.SaveTo
		b.server.updates.AddDispatch(dispatch)
	}
}

package dataplane

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// waitDivisor is the share of the time left for which a request may wait at a
// replica that is full, if all are.
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

// routerSettings are the knobs of a pool: the configured ones, over defaults for
// engines that are described or not.
func routerSettings(pool *routing.Pool) kvrouter.Settings {
	if pool.Config.GetEngine() == nil || pool.Config.GetRouting() != nil {
		return kvrouter.SettingsFrom(pool.Config.GetRouting())
	}
	return kvrouter.DefaultEngineSettings()
}

// maxWait is how long a request may wait at a full replica.
func maxWait(w *work) time.Duration {
	deadline, bounded := w.ctx.Deadline()
	if !bounded {
		return 0
	}
	return time.Until(deadline) / waitDivisor
}

// naming tells how the back ends name the parts of prompts.
func (b *poolBackend) naming() kvrouter.Naming {
	if b.server.options.Edges.Reports != nil {
		return kvrouter.ByID
	}
	return kvrouter.Chained
}

// announceDispatch notes for the other nodes where a request's parts will be kept.
func (b *poolBackend) announceDispatch(attempt Attempt) {
	if len(attempt.Generation.Chunks) == 0 {
		return
	}
	generation := attempt.Generation
	dispatch := gossip.Dispatch{
		Address: attempt.Address,
		Links:   b.naming().Links(generation.Model, generation.CacheSalt, generation.Chunks),
	}
	b.server.updates.addDispatch(dispatch)
	if generation.SaveTo != "" {
		dispatch.Address = generation.SaveTo
		b.server.updates.addDispatch(dispatch)
	}
}

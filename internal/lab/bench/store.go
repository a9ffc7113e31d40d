package bench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// minPushTokens is the smallest chunk that replicas push, in tokens.
	minPushTokens = 256
	// storeJournalEvents bounds the events that a store keeps for readers.
	storeJournalEvents = 4096
)

// store is the fleet's store of chunks, with a network like a replica's.
type store struct {
	reporter
	model *emulator.Store
}

// newStore returns nil for a fleet without a store.
func newStore(settings Settings) *store {
	if settings.StoreTokens == 0 {
		return nil
	}
	model := emulator.NewStore(settings.StoreTokens, 1, storeJournalEvents)
	added := &store{reporter: newReporter(settings, settings.storeNumber(), model), model: model}
	added.zone = settings.storeZone()
	return added
}

// push sends the chunks that a replica has newly cached to the store, one after the
// other, in parallel to the transfers that requests wait for.
func (s *simulation) push(now time.Duration, from *machine, events []replica.Event) {
	for _, event := range events {
		if event.Kind != replica.EventStored {
			continue
		}
		for _, chunk := range event.Chunks {
			if chunk.Tokens >= minPushTokens {
				s.pushChunk(now, from, mustHash(chunk.Hash), chunk.Tokens)
			}
		}
	}
}

func (s *simulation) pushChunk(now time.Duration, from *machine, hash prefixindex.ChainHash, tokens uint32) {
	if _, found := s.store.model.Get(hash); found {
		return
	}
	took := s.settings.Links.TransferTime(from.zone, s.store.zone, uint64(tokens))
	from.pushFreeAt = max(now, from.pushFreeAt) + took
	s.timers.Add(from.pushFreeAt, func(now time.Duration) {
		if chunk, found := from.model.Chunk(hash); found {
			s.store.model.Put(chunk)
			s.sendEvents(now, &s.store.reporter)
		}
	})
}

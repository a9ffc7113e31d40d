package emulator

import (
	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Store is the model of a store of cached chunks. It is not safe for concurrent
// use.
type Store struct {
	capacityTokens uint64
	journalEvents  int
	cache          *Cache
	journal        *Journal
}

// NewStore returns an empty store.
func NewStore(capacityTokens uint64, incarnation uint64, journalEvents int) *Store {
	return &Store{
		capacityTokens: capacityTokens,
		journalEvents:  journalEvents,
		cache:          NewCache(capacityTokens),
		journal:        NewJournal(incarnation, journalEvents),
	}
}

// Put keeps a chunk that a replica pushed.
func (s *Store) Put(chunk CachedChunk) {
	stored, removed := s.cache.PutChain([]CachedChunk{chunk})
	s.cache.Touch([]prefixindex.Link{{Hash: chunk.Hash}})
	s.journal.Removed(removed)
	s.journal.Stored(stored)
}

// Get returns a chunk and marks it as used.
func (s *Store) Get(hash prefixindex.ChainHash) (CachedChunk, bool) {
	s.cache.Touch([]prefixindex.Link{{Hash: hash}})
	return s.cache.Get(hash)
}

// Empty loses everything and starts a new incarnation.
func (s *Store) Empty() {
	s.cache = NewCache(s.capacityTokens)
	s.journal = NewJournal(s.journal.Incarnation()+1, s.journalEvents)
}

// Journal returns the numbered events of the present incarnation.
func (s *Store) Journal() *Journal { return s.journal }

// Snapshot returns a reset event that lists everything kept.
func (s *Store) Snapshot() protocol.Event { return s.journal.Snapshot(s.cache.All()) }

// Report returns the store's account of what it keeps.
func (s *Store) Report() protocol.Report {
	return protocol.Report{
		Incarnation:    s.journal.Incarnation(),
		CachedTokens:   s.cache.CachedTokens(),
		CapacityTokens: s.capacityTokens,
		LastSequence:   s.journal.LastSequence(),
	}
}

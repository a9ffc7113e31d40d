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
	memory         memory
}

// NewStore returns an empty store.
func NewStore(capacityTokens uint64, incarnation uint64, journalEvents int) *Store {
	return &Store{
		capacityTokens: capacityTokens,
		journalEvents:  journalEvents,
		memory:         newMemory(capacityTokens, incarnation, journalEvents),
	}
}

// Put keeps a chunk that a replica pushed.
func (s *Store) Put(chunk CachedChunk) {
	s.memory.keep([]CachedChunk{chunk})
	s.memory.Touch([]prefixindex.Link{{Hash: chunk.Hash}})
}

// Get returns a chunk and marks it as used.
func (s *Store) Get(hash prefixindex.ChainHash) (CachedChunk, bool) {
	s.memory.Touch([]prefixindex.Link{{Hash: hash}})
	return s.memory.Get(hash)
}

// Export returns the chunks that a replica requests, up to the first one that is not
// cached, and marks them as used.
func (s *Store) Export(hashes []prefixindex.ChainHash) []CachedChunk {
	return leadingChunks(hashes, s.Get)
}

// Empty loses everything and starts a new incarnation.
func (s *Store) Empty() {
	s.memory = newMemory(s.capacityTokens, s.memory.journal.Incarnation()+1, s.journalEvents)
}

// Journal returns the numbered events of the present incarnation.
func (s *Store) Journal() *Journal { return s.memory.journal }

// Snapshot returns a reset event that lists everything kept.
func (s *Store) Snapshot() protocol.Event { return s.memory.snapshot() }

// Report returns the store's account of what it keeps.
func (s *Store) Report() protocol.Report {
	return protocol.Report{
		Incarnation:    s.memory.journal.Incarnation(),
		CachedTokens:   s.memory.CachedTokens(),
		CapacityTokens: s.capacityTokens,
		LastSequence:   s.memory.journal.LastSequence(),
	}
}

package emulator

import (
	"github.com/samber/lo"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// memory is the cache of one incarnation with the journal of what changes in it.
type memory struct {
	*Cache
	journal *Journal
}

func newMemory(capacityTokens, incarnation uint64, journalEvents int) memory {
	return memory{Cache: NewCache(capacityTokens), journal: NewJournal(incarnation, journalEvents)}
}

// keep stores chunks of one chain, in order, and reports what was stored and what
// had to go. It ends at the first chunk that finds no room, since no later chunk
// counts without it.
func (m memory) keep(chunks []CachedChunk) {
	stored, removed := m.PutChain(chunks)
	m.journal.Removed(removed)
	m.journal.Stored(stored)
}

// reserve takes memory for the output of an attempt, and reports what had to go.
func (m memory) reserve(tokens uint64) { m.journal.Removed(m.Reserve(tokens)) }

// missing returns the chain hashes among positions first to last that are not
// kept.
func (m memory) missing(links []prefixindex.Link, first, last int) []prefixindex.ChainHash {
	var missing []prefixindex.ChainHash
	for position := max(first, 0); position <= last && position < len(links); position++ {
		hash := links[position].Hash
		if _, kept := m.Get(hash); !kept {
			missing = append(missing, hash)
		}
	}
	return missing
}

// leadingTokens counts the tokens of a chain up to the first chunk that is missing.
func (m memory) leadingTokens(links []prefixindex.Link) uint64 {
	return lo.SumBy(m.Leading(links), func(chunk CachedChunk) uint64 { return uint64(chunk.Tokens) })
}

// leadingChunks returns the chunks that get finds, up to the first hash without one.
func leadingChunks(hashes []prefixindex.ChainHash, get func(prefixindex.ChainHash) (CachedChunk, bool)) []CachedChunk {
	var chunks []CachedChunk
	for _, hash := range hashes {
		chunk, found := get(hash)
		if !found {
			break
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// snapshot returns a reset event that lists everything kept.
func (m memory) snapshot() protocol.Event { return m.journal.Snapshot(m.All()) }

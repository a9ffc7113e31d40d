package emulator

import (
	"strconv"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Journal numbers the cache events of one replica or store and keeps the last of
// them for readers that come back.
type Journal struct {
	incarnation uint64
	sequence    uint64
	limit       int
	events      []protocol.Event
}

// NewJournal starts an incarnation with a reset that lists nothing.
func NewJournal(incarnation uint64, limit int) *Journal {
	journal := &Journal{incarnation: incarnation, limit: limit}
	journal.add(protocol.EventReset, nil)
	return journal
}

// Incarnation returns the number of this incarnation.
func (j *Journal) Incarnation() uint64 { return j.incarnation }

// LastSequence returns the number of the newest event.
func (j *Journal) LastSequence() uint64 { return j.sequence }

// Stored adds an event about chunks that are now kept.
func (j *Journal) Stored(chunks []CachedChunk) {
	if len(chunks) > 0 {
		j.add(protocol.EventStored, EventChunks(chunks))
	}
}

// Removed adds an event about chunks that were dropped.
func (j *Journal) Removed(chunks []CachedChunk) {
	if len(chunks) == 0 {
		return
	}
	gone := make([]protocol.Chunk, len(chunks))
	for position, chunk := range chunks {
		gone[position] = protocol.Chunk{Hash: FormatHash(chunk.Hash)}
	}
	j.add(protocol.EventRemoved, gone)
}

// After returns the events that follow a sequence number, or false when some of
// them are no longer kept or the number is of another incarnation.
func (j *Journal) After(sequence uint64) ([]protocol.Event, bool) {
	if sequence > j.sequence {
		return nil, false
	}
	missing := j.sequence - sequence
	if missing > uint64(len(j.events)) {
		return nil, false
	}
	return j.events[uint64(len(j.events))-missing:], true
}

// Snapshot returns a reset that stands for everything up to the newest event.
// It bears that event's number, so that the next event follows it without a gap.
func (j *Journal) Snapshot(cached []CachedChunk) protocol.Event {
	return protocol.Event{
		Kind:        protocol.EventReset,
		Incarnation: j.incarnation,
		Sequence:    j.sequence,
		Chunks:      EventChunks(cached),
	}
}

func (j *Journal) add(kind protocol.EventKind, chunks []protocol.Chunk) {
	j.sequence++
	j.events = append(j.events, protocol.Event{
		Kind:        kind,
		Incarnation: j.incarnation,
		Sequence:    j.sequence,
		Chunks:      chunks,
	})
	if len(j.events) > 2*j.limit {
		j.events = append([]protocol.Event(nil), j.events[len(j.events)-j.limit:]...)
	}
}

// EventChunks turns cached chunks into the protocol's form, which tells neither
// tenant nor version.
func EventChunks(chunks []CachedChunk) []protocol.Chunk {
	shown := make([]protocol.Chunk, len(chunks))
	for position, chunk := range chunks {
		shown[position] = protocol.Chunk{
			Hash:   FormatHash(chunk.Hash),
			Parent: FormatHash(chunk.Parent),
			Tokens: chunk.Tokens,
		}
	}
	return shown
}

// FormatHash writes a chain hash as replicas name it.
func FormatHash(hash prefixindex.ChainHash) string {
	return strconv.FormatUint(uint64(hash), 16)
}

// ParseHash reads what FormatHash wrote.
func ParseHash(text string) (prefixindex.ChainHash, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return prefixindex.ChainHash(value), err
}

package prefixindex

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainHash identifies a chunk of a prompt together with everything before it, or
// by its ID alone where it comes from HashByID.
type ChainHash uint64

// Chunk is a named piece of a prompt, as the caller states it.
type Chunk struct {
	// ID is the caller's name of the chunk's content.
	ID string
	// Tokens is the length of the chunk, in tokens.
	Tokens uint32
}

// Link is one chunk of a prompt, by the hash that owners and the index use.
type Link struct {
	Hash   ChainHash
	Tokens uint32
}

// RootHash returns the hash that the chain of a prompt starts from.
func RootHash(model, cacheSalt string) ChainHash {
	digest := xxhash.New()
	writeDelimited(digest, model)
	writeDelimited(digest, cacheSalt)
	return ChainHash(digest.Sum64())
}

// NextHash returns the hash of the chunk that follows previous.
func NextHash(previous ChainHash, chunkID string) ChainHash {
	// The array keeps IDs of usual length off the heap.
	var buffer [128]byte
	data := binary.BigEndian.AppendUint64(buffer[:0], uint64(previous))
	data = append(data, chunkID...)
	return ChainHash(xxhash.Sum64(data))
}

// Chain returns the links of a prompt under a model and a cache salt, each with
// its chain hash.
func Chain(model, cacheSalt string, chunks []Chunk) []Link {
	links := make([]Link, len(chunks))
	previous := RootHash(model, cacheSalt)
	for position, chunk := range chunks {
		previous = NextHash(previous, chunk.ID)
		links[position] = Link{Hash: previous, Tokens: chunk.Tokens}
	}
	return links
}

// writeDelimited writes text with its length before it, so that two texts that
// join to the same bytes still differ.
func writeDelimited(digest *xxhash.Digest, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(text)
}

package prefixindex

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainHash identifies a chunk of a prompt together with everything before it. A
// ChainHash from HashByID identifies the chunk alone.
type ChainHash uint64

// Chunk is a named part of a prompt, as stated by the caller.
type Chunk struct {
	// ID is the caller's name of the chunk's content.
	ID string
	// Tokens is the length of the chunk, in tokens.
	Tokens uint32
}

// Link is one chunk of a prompt, identified by its hash in the index.
type Link struct {
	Hash   ChainHash
	Tokens uint32
}

// RootHash returns the hash from which the chain of a prompt starts.
func RootHash(model, cacheSalt string) ChainHash {
	digest := xxhash.New()
	writeDelimited(digest, model)
	writeDelimited(digest, cacheSalt)
	return ChainHash(digest.Sum64())
}

// NextHash returns the hash of the chunk that follows previous.
func NextHash(previous ChainHash, chunkID string) ChainHash {
	// The array on the stack avoids a heap allocation for IDs of usual length.
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

// writeDelimited writes text preceded by its length, so that two pairs of texts with
// the same concatenation are written differently.
func writeDelimited(digest *xxhash.Digest, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(text)
}

package replica

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// cacheSaltBytes is the length of a salt before it is written in hexadecimal.
const cacheSaltBytes = 16

// CacheSalt names the set of requests that may share cached chunks: those of one
// model, under one weight version, in one sharing domain. A walled tenant has a
// sharing domain of its own, and each domain changes with every epoch of a
// wall, so that chunks are never shared across weights or walls.
//
// The salt is a digest over the three texts, each with its length before it,
// so that no two different triples join to the same bytes.
func CacheSalt(model, weightVersion, sharingDomain string) string {
	digest := sha256.New()
	for _, text := range []string{model, weightVersion, sharingDomain} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(text))
	}
	return hex.EncodeToString(digest.Sum(nil)[:cacheSaltBytes])
}

package replica

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// cacheSaltBytes is the length of a salt in bytes, before hexadecimal encoding.
const cacheSaltBytes = 16

// CacheSalt returns the ID of the set of requests that may share cached chunks: those for one
// model and one weight version in one sharing domain. A walled tenant has a sharing domain of its
// own, and each domain changes with every epoch of a wall, so that chunks are never shared across
// weight versions or walls.
//
// The salt is a truncated SHA-256 digest of the three texts. Each is preceded by its length, so
// that no two different triples are hashed as the same bytes.
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

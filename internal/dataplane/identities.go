package dataplane

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// identityBytes is the length of the part that no two processes share.
const identityBytes = 8

// identities makes names that no other process and no earlier life of this one
// makes.
type identities struct {
	prefix string
	count  atomic.Uint64
}

// newIdentities returns a source of names for one life of a node.
func newIdentities(node string) (*identities, error) {
	var life [identityBytes]byte
	if _, err := rand.Read(life[:]); err != nil {
		return nil, errors.Wrap(err, "no random number can be had")
	}
	return &identities{prefix: node + "-" + hex.EncodeToString(life[:]) + "-"}, nil
}

// next returns a new name.
func (i *identities) next() string {
	return i.prefix + strconv.FormatUint(i.count.Add(1), 10)
}

package dataplane

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// incarnationBytes is the length of the random number that distinguishes processes.
const incarnationBytes = 8

// idGenerator makes names that no other process and no earlier incarnation of this one
// makes.
type idGenerator struct {
	prefix string
	count  atomic.Uint64
}

// newIDGenerator returns a generator for one incarnation of a node.
func newIDGenerator(node string) (*idGenerator, error) {
	var incarnation [incarnationBytes]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "no random number can be had")
	}
	return &idGenerator{prefix: node + "-" + hex.EncodeToString(incarnation[:]) + "-"}, nil
}

// next returns a new name.
func (i *idGenerator) next() string {
	return i.prefix + strconv.FormatUint(i.count.Add(1), 10)
}

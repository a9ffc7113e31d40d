// Package requestid makes the identities of requests and attempts that callers do not
// choose.
package requestid

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// incarnationBytes is the length of the random number that distinguishes processes.
const incarnationBytes = 8

// Generator makes names that no other process and no earlier incarnation of this one
// makes. It may be used concurrently.
type Generator struct {
	prefix string
	count  atomic.Uint64
}

// New returns a generator for one incarnation of a node.
func New(node string) (*Generator, error) {
	var incarnation [incarnationBytes]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "no random number can be had")
	}
	return &Generator{prefix: node + "-" + hex.EncodeToString(incarnation[:]) + "-"}, nil
}

// Next returns a new name.
func (g *Generator) Next() string {
	return g.prefix + strconv.FormatUint(g.count.Add(1), 10)
}

// Package requestid generates identities for attempts, and for requests whose caller has not
// chosen one.
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

// Generator generates identities that are unique among all processes, including earlier
// incarnations of this node. It is safe for concurrent use.
type Generator struct {
	prefix string
	count  atomic.Uint64
}

// New returns a generator for a new incarnation of the named node.
func New(node string) (*Generator, error) {
	var incarnation [incarnationBytes]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "cannot read random bytes for request identities")
	}
	return &Generator{prefix: node + "-" + hex.EncodeToString(incarnation[:]) + "-"}, nil
}

// Next returns a new identity.
func (g *Generator) Next() string {
	return g.prefix + strconv.FormatUint(g.count.Add(1), 10)
}

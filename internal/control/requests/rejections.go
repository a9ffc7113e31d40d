package requests

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxRejections bounds the rejections that a leader remembers.
	maxRejections = 4096
	// rejectionRetentionTimeouts is how long it remembers one, in time-outs of a request: the
	// node that asked has given up long before, and its last copy has come.
	rejectionRetentionTimeouts = 3
)

// requestKey names a request of a node, which repeats it under the same number until
// it gets a reply.
type requestKey struct {
	from    member.ID
	request uint64
}

// rejections are the answers to changes that were rejected. Without them a copy of such
// a request that comes late would be judged anew, and might be accepted after the
// operator was informed that it was not.
type rejections struct {
	byRequest map[requestKey]*controlpb.Answer
	// byExpiry are the requests in the order in which they are forgotten.
	byExpiry []expiringRequest
}

type expiringRequest struct {
	requestKey
	until time.Duration
}

func newRejections() rejections {
	return rejections{byRequest: map[requestKey]*controlpb.Answer{}}
}

// add keeps the answer to a rejected request until an instant, or until too many
// others have followed.
func (r *rejections) add(rejected requestKey, answer *controlpb.Answer, until time.Duration) {
	if len(r.byExpiry) >= maxRejections {
		r.removeOldest()
	}
	r.byRequest[rejected] = answer
	r.byExpiry = append(r.byExpiry, expiringRequest{rejected, until})
}

// lookup returns the answer to a rejected request, or nil.
func (r *rejections) lookup(request requestKey) *controlpb.Answer { return r.byRequest[request] }

// expire forgets the rejections whose time has passed.
func (r *rejections) expire(now time.Duration) {
	for len(r.byExpiry) > 0 && r.byExpiry[0].until <= now {
		r.removeOldest()
	}
}

func (r *rejections) removeOldest() {
	delete(r.byRequest, r.byExpiry[0].requestKey)
	r.byExpiry = r.byExpiry[1:]
}

package requests

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxRejections is how many rejections a leader keeps at most.
	maxRejections = 4096
	// rejectionRetentionTimeouts is how long a leader keeps a rejection, as a multiple of
	// LeaderConfig.RequestTimeout. By then the sender has given up long before, and the last
	// copy of its request has arrived.
	rejectionRetentionTimeouts = 3
)

// requestKey identifies a request of a node, which sends it again under the same number
// until it gets a reply.
type requestKey struct {
	from    member.ID
	request uint64
}

// rejections contains the answers to rejected changes. Without them, a copy of a rejected
// request that arrives late would be evaluated again, and might be accepted after the
// operator was told that the change was rejected.
type rejections struct {
	byRequest map[requestKey]*controlpb.Answer
	// byExpiry contains the requests in the order in which they expire.
	byExpiry []expiringRequest
}

type expiringRequest struct {
	requestKey
	until time.Duration
}

func newRejections() rejections {
	return rejections{byRequest: map[requestKey]*controlpb.Answer{}}
}

// add keeps the answer to a rejected request until the given time, or until maxRejections
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

// expire removes the rejections whose time has passed.
func (r *rejections) expire(now time.Duration) {
	for len(r.byExpiry) > 0 && r.byExpiry[0].until <= now {
		r.removeOldest()
	}
}

func (r *rejections) removeOldest() {
	delete(r.byRequest, r.byExpiry[0].requestKey)
	r.byExpiry = r.byExpiry[1:]
}

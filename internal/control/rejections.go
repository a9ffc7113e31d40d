package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxRejections bounds the refusals that an owner remembers.
	maxRejections = 4096
	// rejectionRetention is how long it remembers one, in time-outs of an order: the node
	// that asked has given up long before, and its last copy has come.
	rejectionRetention = 3
)

// requestKey is one question of a node. A node asks it again, under the same number,
// until it gets an answer.
type requestKey struct {
	from    member.ID
	request uint64
}

// rejections are the answers to questions that were refused. Without them a copy of
// such a question that comes late would be judged anew, and might be taken after
// the operator was told that it was not.
type rejections struct {
	byRequest map[requestKey]*controlpb.Answer
	// byExpiry are the questions in the order of their answers.
	byExpiry []expiringRequest
}

type expiringRequest struct {
	requestKey
	until time.Duration
}

func newRejections() rejections {
	return rejections{byRequest: map[requestKey]*controlpb.Answer{}}
}

// remember remembers a refusal until a time.
func (r *rejections) remember(rejected requestKey, answer *controlpb.Answer, until time.Duration) {
	if len(r.byExpiry) >= maxRejections {
		r.removeOldest()
	}
	r.byRequest[rejected] = answer
	r.byExpiry = append(r.byExpiry, expiringRequest{rejected, until})
}

// lookup is the refusal of a question, or nil.
func (r *rejections) lookup(request requestKey) *controlpb.Answer { return r.byRequest[request] }

// expire forgets what is over.
func (r *rejections) expire(now time.Duration) {
	for len(r.byExpiry) > 0 && r.byExpiry[0].until <= now {
		r.removeOldest()
	}
}

func (r *rejections) removeOldest() {
	delete(r.byRequest, r.byExpiry[0].requestKey)
	r.byExpiry = r.byExpiry[1:]
}

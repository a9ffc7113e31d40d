package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// pendingRequestTimeout is how long a request may wait for a newer reading.
	pendingRequestTimeout = 500 * time.Millisecond
	// notifyEvery is the least time between two notifications of an outdated reader.
	notifyEvery = requestEvery
)

// responder answers requests of other nodes and notifies outdated readers. It owns the
// requests that wait for a newer reading, and the times of notifications.
type responder struct {
	members *readerOrder
	table   *table
	outbox  *outbox
	// pending contains the last request of each node that this node had no newer reading
	// for.
	pending map[member.ID]pendingRequest
	// notifiedAt is when each outdated reader was last notified.
	notifiedAt map[member.ID]time.Duration
}

// pendingRequest is a request that waits for a newer reading.
type pendingRequest struct {
	receivedAt time.Duration
	request    Request
}

// receive handles a request. It answers at once if this node's reading is newer than that of
// the request, or if the request is numbered; else when this node gets a newer reading.
func (r *responder) receive(now time.Duration, from member.ID, request Request) {
	current := r.table.current
	if current.present && (request.Number > 0 || current.version.newerThan(request.Version)) {
		r.reply(now, from, request)
		return
	}
	r.pending[from] = pendingRequest{receivedAt: now, request: request}
}

// answerPending answers the pending requests that have not timed out.
func (r *responder) answerPending(now time.Duration) {
	for _, one := range r.members.members {
		request, pending := r.pending[one.ID]
		if pending && now-request.receivedAt < pendingRequestTimeout {
			r.reply(now, one.ID, request.request)
		}
	}
	r.dropPending()
}

// dropPending drops the pending requests. Requests need no answer after this node's own
// reading, which is sent to all members.
func (r *responder) dropPending() { clear(r.pending) }

// reply sends the newest reading, without replicas if the other node has the same list.
func (r *responder) reply(now time.Duration, to member.ID, request Request) {
	reading := r.table.fullReading(now)
	if request.Digest == r.table.current.digest {
		reading = r.table.unchangedReading(now)
	}
	reading.AnswersRequest = request.Number
	r.outbox.sendReading(to, reading)
}

// notifyOutdatedReader sends the current reading to a reader that does not know of it, so
// that it stops reading.
func (r *responder) notifyOutdatedReader(now time.Duration, reader member.ID) {
	if reader == r.table.current.version.Reader || !r.members.has(reader) {
		return
	}
	if last, notified := r.notifiedAt[reader]; notified && now-last < notifyEvery {
		return
	}
	r.notifiedAt[reader] = now
	r.reply(now, reader, Request{})
}

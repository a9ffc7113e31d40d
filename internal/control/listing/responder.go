package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// pendingRequestTimeout is how long a request waits for a reading to answer it with.
	pendingRequestTimeout = 500 * time.Millisecond
	// notifyEvery is the time between two replies to an outdated reader.
	notifyEvery = requestEvery
)

// responder answers other nodes. It owns the requests that wait for a newer reading, and
// which outdated readers were notified.
type responder struct {
	members *readerOrder
	table   *table
	outbox  *outbox
	// pending are requests that this node had nothing newer for.
	pending map[member.ID]pendingRequest
	// notifiedAt is when each outdated reader was last notified.
	notifiedAt map[member.ID]time.Duration
}

// pendingRequest is a request that a later reading answers.
type pendingRequest struct {
	receivedAt time.Duration
	request    Request
}

// receive answers a request with this node's list if it is newer, at once or as soon as it
// is.
func (r *responder) receive(now time.Duration, from member.ID, request Request) {
	current := r.table.current
	if current.present && (request.Number > 0 || current.version.newerThan(request.Version)) {
		r.reply(now, from, request)
		return
	}
	r.pending[from] = pendingRequest{receivedAt: now, request: request}
}

// answerPending answers the requests that waited for a newer reading.
func (r *responder) answerPending(now time.Duration) {
	for _, one := range r.members.members {
		request, pending := r.pending[one.ID]
		if pending && now-request.receivedAt < pendingRequestTimeout {
			r.reply(now, one.ID, request.request)
		}
	}
	r.dropPending()
}

// dropPending forgets the requests that wait, as the reading that answers them is sent to
// all members.
func (r *responder) dropPending() { clear(r.pending) }

// reply sends the newest reading, without its replicas if the other node has them.
func (r *responder) reply(now time.Duration, to member.ID, request Request) {
	reading := r.table.fullReading(now)
	if request.Digest == r.table.current.digest {
		reading = r.table.unchangedReading(now)
	}
	reading.AnswersRequest = request.Number
	r.outbox.sendReading(to, reading)
}

// notifyOutdatedReader shows a reader that does not know of a later one what is in
// force, so that it stops.
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

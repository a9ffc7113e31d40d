package listing

import (
	"math/bits"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// requestAfter is how much longer than ReadEvery a node waits for a refresh
	// before it sends a request to another node. A request makes up for a lost message.
	requestAfter = 350 * time.Millisecond
	// requestEvery is the time between two requests.
	requestEvery = 200 * time.Millisecond
	// takeOverAfter is how much longer than ReadEvery the first node in the order of
	// readers waits for a refresh before it reads the list itself. takeOverStep is how
	// much longer the nodes of each further step wait, see takeOverSteps.
	takeOverAfter = 500 * time.Millisecond
	takeOverStep  = 350 * time.Millisecond
	// firstReadAfter is how long after its start the first node in the order of
	// readers waits for the list of another node before it reads the list itself.
	// soleNodeDelay is how long a node waits that knows no other node.
	firstReadAfter = 300 * time.Millisecond
	soleNodeDelay  = time.Second
)

// follower requests readings of other nodes when they are overdue. It owns this node's
// requests, and the proof that the current list is fresh.
type follower struct {
	readEvery time.Duration
	started   time.Duration
	members   *readerOrder
	table     *table
	outbox    *outbox
	proof     freshnessProof
	// firstRequestScheduled means that membersChanged has already scheduled the first request.
	firstRequestScheduled bool
	// requests counts the requests that requestNext has sent since the last refresh.
	// nextRequest is the earliest time of the next one.
	requests    int
	nextRequest time.Duration
}

// membersChanged schedules the first request of a node without a list for the next tick, as
// soon as it knows another member.
func (f *follower) membersChanged(now time.Duration) {
	if !f.table.current.present && !f.firstRequestScheduled && len(f.members.others()) > 0 {
		f.firstRequestScheduled = true
		f.nextRequest = now
	}
}

// requestProof schedules a request for a proof of how old the node's list is at most.
func (f *follower) requestProof(now time.Duration) {
	f.proof.request()
	f.nextRequest = now
}

// refreshed records that the node has a newer reading.
func (f *follower) refreshed() { f.requests = 0 }

// tick sends a request if a refresh is overdue or a proof is pending. A node that reads the
// list itself sends requests only for a proof.
func (f *follower) tick(now time.Duration, reading bool) {
	if now < f.nextRequest || f.members.alone() {
		return
	}
	if f.proof.pending || !reading && f.refreshOverdue(now) {
		f.requestNext(now)
	}
}

func (f *follower) refreshOverdue(now time.Duration) bool {
	current := f.table.current
	return !current.present || now-current.receivedAt >= f.readEvery+requestAfter
}

// requestNext sends a request to the current reader first, and to the other members in turn
// if no refresh follows.
func (f *follower) requestNext(now time.Duration) {
	others := f.members.others()
	target := others[f.requests%len(others)].ID
	reader := f.table.current.version.Reader
	if f.requests == 0 && reader != f.members.self && f.members.has(reader) {
		target = reader
	}
	f.requests++
	f.request(now, target)
}

// request asks a node for a newer reading than the current one.
func (f *follower) request(now time.Duration, to member.ID) {
	f.nextRequest = now + requestEvery
	f.outbox.sendRequest(to, Request{
		Version: f.table.current.version,
		Digest:  f.table.current.digest,
		Number:  f.proof.requestNumber(now),
	})
}

// takeOverAt returns when this node reads the list itself unless the list is refreshed
// before.
func (f *follower) takeOverAt() time.Duration {
	current := f.table.current
	delay := time.Duration(takeOverSteps(f.members.rank(current.version.Reader))) * takeOverStep
	switch {
	case current.present:
		return current.receivedAt + f.readEvery + takeOverAfter + delay
	case f.members.alone():
		return f.started + soleNodeDelay
	default:
		return f.started + firstReadAfter + delay
	}
}

// takeOverSteps returns how many steps a node of a rank waits before it takes over. The
// steps contain one, one, two, four nodes and so on. The last of many nodes therefore does
// not wait long, and few nodes read the list needlessly while the first ones are down.
func takeOverSteps(rank int) int { return bits.Len(uint(rank)) }

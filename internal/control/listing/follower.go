package listing

import (
	"math/bits"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// requestAfter is how much longer than ReadEvery a node waits for a refresh
	// before it asks another node, which repairs a lost message.
	requestAfter = 350 * time.Millisecond
	// requestEvery is the time between two such requests.
	requestEvery = 200 * time.Millisecond
	// takeOverAfter is how much longer than ReadEvery the first in the order of
	// readers waits for a refresh before it reads by itself, and takeOverStep how
	// much longer each further step of the order waits.
	takeOverAfter = 500 * time.Millisecond
	takeOverStep  = 350 * time.Millisecond
	// firstReadAfter is how long a starting node waits for the list of another
	// node before the first in the order reads, and soleNodeDelay how long it waits
	// if it knows no other node.
	firstReadAfter = 300 * time.Millisecond
	soleNodeDelay  = time.Second
)

// follower waits for the readings of another node. It owns this node's requests for them,
// and the proof that the list in force is fresh.
type follower struct {
	readEvery time.Duration
	started   time.Duration
	members   *readerOrder
	table     *table
	outbox    *outbox
	proof     freshnessProof
	// firstRequestScheduled means that this node asked the first members that it learnt of.
	firstRequestScheduled bool
	// requests counts those sent since the last refresh, and nextRequest is when the next
	// may be sent.
	requests    int
	nextRequest time.Duration
}

// membersChanged has a node without a list ask the first other member that it learns of.
func (f *follower) membersChanged(now time.Duration) {
	if !f.table.current.present && !f.firstRequestScheduled && len(f.members.others()) > 0 {
		f.firstRequestScheduled = true
		f.nextRequest = now
	}
}

// requestProof has the node ask how old its list is at the most.
func (f *follower) requestProof(now time.Duration) {
	f.proof.request()
	f.nextRequest = now
}

// refreshed records that a newer reading is in force.
func (f *follower) refreshed() { f.requests = 0 }

// tick asks for a reading if a refresh, or a proof, is overdue. A node that reads by itself
// asks for a proof alone.
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

// requestNext asks the reader first, and then one member after the other.
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

// request asks a node for a reading newer than the one in force.
func (f *follower) request(now time.Duration, to member.ID) {
	f.nextRequest = now + requestEvery
	f.outbox.sendRequest(to, Request{
		Version: f.table.current.version,
		Digest:  f.table.current.digest,
		Number:  f.proof.requestNumber(now),
	})
}

// takeOverAt is when this node reads by itself unless its list is refreshed.
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

// takeOverSteps is how many steps a node of a rank waits before it takes over. The steps
// hold one, one, two, four nodes and so on, so that the last of many nodes does
// not wait for long, and few read in vain while the first are gone.
func takeOverSteps(rank int) int { return bits.Len(uint(rank)) }

package replication

// maxPendingReads limits the number of reads that wait for a quorum.
const maxPendingReads = 8192

// Read means that a linearizable read may be answered from the state after Index. When a
// Ready contains it, all entries up to Index have been returned in that Ready or in earlier
// ones.
type Read struct {
	ID    uint64
	Index uint64
}

// readQueue contains reads from their request until a majority has acknowledged a heartbeat
// that was sent after the request. That confirms that no newer leader had committed anything
// when the read was requested.
type readQueue struct {
	lastID uint64
	// waiting contains the unconfirmed reads in the order of their requests, and so of their
	// heartbeats; reads without a heartbeat come last.
	waiting []pendingRead
	// ready and failed contain the results for the next Ready.
	ready  []Read
	failed []uint64
}

// pendingRead waits for the acknowledgement of a heartbeat; zero means that none has been
// sent since the request.
type pendingRead struct {
	id        uint64
	heartbeat uint64
}

func (q *readQueue) add() (id uint64) {
	q.lastID++
	q.waiting = append(q.waiting, pendingRead{id: q.lastID})
	return q.lastID
}

// heartbeatInFlight reports whether a heartbeat that reads wait for has been sent.
func (q *readQueue) heartbeatInFlight() bool {
	return len(q.waiting) > 0 && q.waiting[0].heartbeat != 0
}

// needHeartbeat reports whether reads wait and no heartbeat has been sent for any of them.
func (q *readQueue) needHeartbeat() bool {
	return len(q.waiting) > 0 && q.waiting[0].heartbeat == 0
}

// assign makes all reads without a heartbeat wait for the one that was just sent.
func (q *readQueue) assign(heartbeat uint64) {
	for i := range q.waiting {
		if q.waiting[i].heartbeat == 0 {
			q.waiting[i].heartbeat = heartbeat
		}
	}
}

// confirm moves the reads whose heartbeat a majority has acknowledged to ready.
func (q *readQueue) confirm(acknowledged, committed uint64) {
	for q.heartbeatInFlight() && q.waiting[0].heartbeat <= acknowledged {
		q.ready = append(q.ready, Read{ID: q.waiting[0].id, Index: committed})
		q.waiting = q.waiting[1:]
	}
}

// hasResults reports whether takeResults would return any read.
func (q *readQueue) hasResults() bool {
	return len(q.ready) > 0 || len(q.failed) > 0
}

// takeResults returns and removes the reads that may be answered and those that have failed.
func (q *readQueue) takeResults() (ready []Read, failed []uint64) {
	ready, failed = q.ready, q.failed
	q.ready, q.failed = nil, nil
	return ready, failed
}

// failWaiting moves all waiting reads to failed, as this member can't confirm them any more.
func (q *readQueue) failWaiting() {
	for _, read := range q.waiting {
		q.failed = append(q.failed, read.id)
	}
	q.waiting = nil
}

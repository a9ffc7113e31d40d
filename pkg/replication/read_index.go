package replication

// maxPendingReads bounds the reads that wait for a quorum.
const maxPendingReads = 8192

// Read tells that a linearizable read may be answered from the state after Index.
// When it stands in a Ready, all entries up to Index have been handed out in that
// Ready or earlier ones.
type Read struct {
	ID    uint64
	Index uint64
}

// readQueue keeps reads from their request until a majority has acknowledged a
// heartbeat that was sent after it, which confirms that no newer leader had
// committed anything by then.
type readQueue struct {
	lastID uint64
	// waiting are in the order of their requests, and so of their heartbeats; those
	// without one come last.
	waiting []pendingRead
	// ready and failed are for the next Ready.
	ready  []Read
	failed []uint64
}

// pendingRead waits for a heartbeat to be acknowledged; for zero none was sent
// since the request.
type pendingRead struct {
	id        uint64
	heartbeat uint64
}

func (q *readQueue) add() (id uint64) {
	q.lastID++
	q.waiting = append(q.waiting, pendingRead{id: q.lastID})
	return q.lastID
}

// heartbeatInFlight tells whether a heartbeat was sent that reads wait for.
func (q *readQueue) heartbeatInFlight() bool {
	return len(q.waiting) > 0 && q.waiting[0].heartbeat != 0
}

// needHeartbeat tells whether reads wait and no heartbeat was sent for any of them.
func (q *readQueue) needHeartbeat() bool {
	return len(q.waiting) > 0 && q.waiting[0].heartbeat == 0
}

// assign gives the heartbeat that was just sent to all reads without one.
func (q *readQueue) assign(heartbeat uint64) {
	for i := range q.waiting {
		if q.waiting[i].heartbeat == 0 {
			q.waiting[i].heartbeat = heartbeat
		}
	}
}

// confirm makes the reads ready whose heartbeat a majority has acknowledged.
func (q *readQueue) confirm(acknowledged, committed uint64) {
	for q.heartbeatInFlight() && q.waiting[0].heartbeat <= acknowledged {
		q.ready = append(q.ready, Read{ID: q.waiting[0].id, Index: committed})
		q.waiting = q.waiting[1:]
	}
}

// hasResults tells whether takeResults would return any read.
func (q *readQueue) hasResults() bool {
	return len(q.ready) > 0 || len(q.failed) > 0
}

// takeResults returns the reads that may be answered and those that have failed, once.
func (q *readQueue) takeResults() (ready []Read, failed []uint64) {
	ready, failed = q.ready, q.failed
	q.ready, q.failed = nil, nil
	return ready, failed
}

// failWaiting gives all reads up that this member can't confirm any more.
func (q *readQueue) failWaiting() {
	for _, read := range q.waiting {
		q.failed = append(q.failed, read.id)
	}
	q.waiting = nil
}

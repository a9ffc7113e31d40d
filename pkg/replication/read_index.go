package replication

import "time"

// maxPendingReads bounds the reads that wait for a quorum.
const maxPendingReads = 8192

// Read tells that a linearizable read may be answered from the state after
// Index. When it stands in a Ready, all entries up to Index have been handed
// out in that Ready or earlier ones.
type Read struct {
	ID    uint64
	Index uint64
}

// readQueue holds reads from their request until a quorum has confirmed the
// leadership after it.
type readQueue struct {
	lastID  uint64
	waiting []pendingRead
	ready   []Read
	failed  []uint64
}

// pendingRead waits for round to be answered; for round zero none was sent
// since the request.
type pendingRead struct {
	id        uint64
	heartbeat uint64
}

// RequestRead asks for a linearizable read. It is answered in Ready.Reads, or
// in Ready.ReadsFailed if the leadership is lost before. Reads that come while
// a round is under way share the next one.
func (g *Group) RequestRead(now time.Duration) (readID uint64, err error) {
	g.advanceClock(now)
	if err := g.checkAcceptsProposals(); err != nil {
		return 0, err
	}
	if len(g.reads.waiting) >= maxPendingReads {
		return 0, ErrBacklogFull
	}
	g.reads.lastID++
	g.reads.waiting = append(g.reads.waiting, pendingRead{id: g.reads.lastID})
	if !g.readHeartbeatInFlight() {
		g.broadcastHeartbeat()
	}
	return g.reads.lastID, nil
}

func (g *Group) readHeartbeatInFlight() bool {
	return len(g.reads.waiting) > 0 && g.reads.waiting[0].heartbeat != 0
}

// assignReads gives all reads without one the round that was just sent.
func (g *Group) assignReads() {
	for i := range g.reads.waiting {
		if g.reads.waiting[i].heartbeat == 0 {
			g.reads.waiting[i].heartbeat = g.leadership.heartbeatNumber
		}
	}
}

// confirmReads hands out the reads whose round a majority answered. Until the
// barrier is committed the leader can't know the last committed entry, so they
// wait for that too.
func (g *Group) confirmReads(acknowledged uint64) {
	if g.role != RoleLeader || g.log.committed < g.leadership.barrier {
		return
	}
	for g.readHeartbeatInFlight() && g.reads.waiting[0].heartbeat <= acknowledged {
		g.reads.ready = append(g.reads.ready, Read{ID: g.reads.waiting[0].id, Index: g.log.committed})
		g.reads.waiting = g.reads.waiting[1:]
	}
	if len(g.reads.waiting) > 0 && g.reads.waiting[0].heartbeat == 0 {
		g.broadcastHeartbeat()
	}
}

// releaseReads looks again at reads that waited for the barrier.
func (g *Group) releaseReads() {
	g.confirmHeartbeats()
}

// failReads gives all reads up that this member can't confirm any more.
func (g *Group) failReads() {
	for _, read := range g.reads.waiting {
		g.reads.failed = append(g.reads.failed, read.id)
	}
	g.reads.waiting = nil
}

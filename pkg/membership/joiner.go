package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// joinTimeoutFencePeriods is the number of FenceAfter periods for which a starting node waits
// for a reply of any seed before it considers itself alone.
const joinTimeoutFencePeriods = 3

// joiner joins this node through a seed and answers nodes that join through this node. It
// owns the seeds, the progress of the join, and the replies that it defers.
//
// Its invariant: once joined is set, it stays set. Before that, this node's table may lack
// most members, so selfMember chooses no monitors and the node stays fenced.
type joiner struct {
	config Config
	table  *memberTable
	outbox *outbox
	seeds  []string
	// startedAt is when this process started.
	startedAt time.Duration
	// joined is set when a seed has sent its table, no seed replied in time, or there was
	// no seed to ask. joinedAt is when it was set.
	joined   bool
	joinedAt time.Duration
	// nextAttempt is when the next seed is contacted, and nextSeed selects it.
	nextAttempt time.Duration
	nextSeed    int
	// deferred are the nodes that wait for this node's table, and deferredSince is when
	// the join of the first of them arrived.
	deferred      []member.Info
	deferredSince time.Duration
}

func newJoiner(cfg Config, table *memberTable, outbox *outbox, now time.Duration) *joiner {
	j := &joiner{
		config:      cfg,
		table:       table,
		outbox:      outbox,
		seeds:       cfg.Seeds,
		startedAt:   now,
		nextAttempt: now,
		// Nodes with the same list of seeds start at different positions in it.
		nextSeed: int(ringPosition(cfg.Self.ID) % (1 << 16)),
	}
	if len(j.remoteSeeds()) == 0 {
		j.completeJoin(now)
	}
	return j
}

// tick contacts the next seed if this node hasn't joined, and sends the deferred replies
// that are due.
func (j *joiner) tick(now time.Duration) {
	if !j.joined && now >= j.nextAttempt {
		j.askNextSeed(now)
	}
	j.sendDeferredReplies(now)
}

// setSeeds replaces the seeds and contacts the vacant ones.
func (j *joiner) setSeeds(seeds []string) {
	j.seeds = slices.Clone(seeds)
	for _, seed := range j.vacantSeeds() {
		j.contactSeed(seed)
	}
}

// remoteSeeds returns the seeds that aren't this node's own address.
func (j *joiner) remoteSeeds() []string {
	return slices.DeleteFunc(slices.Clone(j.seeds), func(seed string) bool {
		return seed == "" || seed == j.config.Self.Address
	})
}

// vacantSeeds returns the remote seeds whose address isn't that of a member that may be
// running. If the member at an address has left or is certainly fenced, another process may
// have started there.
func (j *joiner) vacantSeeds() []string {
	vacant := j.remoteSeeds()
	for _, e := range j.table.entries {
		if !e.record.certainlyFenced() && slices.Contains(vacant, e.record.Info.Address) {
			vacant = slices.DeleteFunc(vacant, func(seed string) bool { return seed == e.record.Info.Address })
		}
	}
	return vacant
}

// askNextSeed contacts the next seed in turn. A node whose seeds don't reply within
// joinTimeoutFencePeriods considers itself alone. From then on, the prober contacts its
// seeds.
func (j *joiner) askNextSeed(now time.Duration) {
	if now-j.startedAt >= joinTimeoutFencePeriods*j.config.FenceAfter {
		j.completeJoin(now)
	}
	j.nextAttempt = now + j.config.HeartbeatEvery
	seeds := j.remoteSeeds()
	seed := seeds[j.nextSeed%len(seeds)]
	j.nextSeed++
	j.contactSeed(seed)
}

// contactSeed requests the seed's table. If this node has joined and knows members that may
// be running, its table is likely to contain most of the seed's; it then sends a digest for
// comparison instead.
func (j *joiner) contactSeed(address string) {
	message := Message{Type: MessageGossip}
	if !j.joined || j.table.isAlone() {
		message = Message{Type: MessageJoin, Records: []Record{j.table.selfRecord().clone()}}
	}
	j.outbox.sendToSeed(address, message)
}

// onJoinReply completes the join, or waits for the table of a seed that deferred its reply
// until the table is stable.
func (j *joiner) onJoinReply(now time.Duration, msg Message) {
	if msg.Deferred {
		j.nextAttempt = max(j.nextAttempt, now+2*j.config.startupWindow()+j.config.HeartbeatEvery)
		return
	}
	j.completeJoin(now)
	if msg.Stable {
		j.table.assumeStable(now)
	}
}

// completeJoin marks this node as joined, unless it already is.
func (j *joiner) completeJoin(now time.Duration) {
	if !j.joined {
		j.joined = true
		j.joinedAt = now
	}
}

// onJoin replies to a joining node with the table. While many nodes are starting, the reply
// is deferred, because the table will soon contain more members. stable states whether the
// table was stable before the message arrived.
func (j *joiner) onJoin(now time.Duration, msg Message, stable bool) {
	if stable && j.pastStartupWindow(now) {
		j.outbox.reply(msg, j.joinReply(now))
		return
	}
	j.outbox.reply(msg, Message{Type: MessageJoinReply, Deferred: true})
	if len(j.deferred) == 0 {
		j.deferredSince = now
	}
	waiting := slices.ContainsFunc(j.deferred, func(other member.Info) bool { return other.ID == msg.From.ID })
	if !waiting {
		j.deferred = append(j.deferred, msg.From)
	}
}

// sendDeferredReplies sends the table to the nodes that wait for it. It does so when the
// startup window has passed and the table is stable, or when the first of these nodes has
// waited for twice the startup window.
func (j *joiner) sendDeferredReplies(now time.Duration) {
	if len(j.deferred) == 0 {
		return
	}
	ready := j.pastStartupWindow(now) && j.table.isStable(now)
	if !ready && now-j.deferredSince < 2*j.config.startupWindow() {
		return
	}
	reply := j.joinReply(now)
	for _, info := range j.deferred {
		j.outbox.sendTo(info, reply)
	}
	j.deferred = nil
}

// pastStartupWindow reports whether nodes that started at the same time as this node have
// had enough time to join.
func (j *joiner) pastStartupWindow(now time.Duration) bool {
	return now-j.startedAt >= j.config.startupWindow()
}

func (j *joiner) joinReply(now time.Duration) Message {
	return Message{Type: MessageJoinReply, Records: j.table.copyRecords(), Stable: j.table.isStable(now)}
}

package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// joinTimeoutFencePeriods is for how many FenceAfter periods a starting node waits for some seed
// before it considers itself alone.
const joinTimeoutFencePeriods = 3

// joiner lets this node join through a seed, and lets others join through this node. It
// owns the seeds, the progress of the search, and the replies that it defers.
//
// Its invariant: once joined is set, it stays set. Before that, this node's table may lack
// most members, so no monitors are chosen and the node stays fenced (selfMember upholds it).
type joiner struct {
	config Config
	table  *memberTable
	outbox *outbox
	seeds  []string
	// startedAt is when this process started.
	startedAt time.Duration
	// joined tells whether the search has ended: a seed replied, none did in time, or
	// there was none to ask. joinedAt is when it ended.
	joined   bool
	joinedAt time.Duration
	// nextAttempt is when the next seed is asked, and nextSeed counts the attempts.
	nextAttempt time.Duration
	nextSeed    int
	// deferred are the nodes that wait for this node's table, and deferredSince is
	// when the first of them asked.
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
		// Nodes with the same seeds begin at different ones.
		nextSeed: int(ringPosition(cfg.Self.ID) % (1 << 16)),
	}
	if len(j.remoteSeeds()) == 0 {
		j.completeJoin(now)
	}
	return j
}

// tick goes on with the search, and sends the deferred replies that are due.
func (j *joiner) tick(now time.Duration) {
	if !j.joined && now >= j.nextAttempt {
		j.askNextSeed(now)
	}
	j.sendDeferredReplies(now)
}

// setSeeds replaces the seeds, and contacts those at which no live member listens.
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

// vacantSeeds returns the remote seeds at which no member listens that may be running:
// where one has left or is fenced, another process may have started.
func (j *joiner) vacantSeeds() []string {
	vacant := j.remoteSeeds()
	for _, e := range j.table.entries {
		if !e.record.certainlyFenced() && slices.Contains(vacant, e.record.Info.Address) {
			vacant = slices.DeleteFunc(vacant, func(seed string) bool { return seed == e.record.Info.Address })
		}
	}
	return vacant
}

// askNextSeed asks one seed after the other until one replies. A node whose seeds don't
// reply within joinTimeoutFences considers itself alone, and goes on by probes.
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

// contactSeed asks for the seed's table; or, if this node's table may hold much of it,
// sends a digest for comparison.
func (j *joiner) contactSeed(address string) {
	message := Message{Type: MessageGossip}
	if !j.joined || j.table.isAlone() {
		message = Message{Type: MessageJoin, Records: []Record{j.table.selfRecord().clone()}}
	}
	j.outbox.sendToSeed(address, message)
}

// onJoinReply ends the search, or waits for a seed that deferred its reply until its table
// is stable.
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

// completeJoin ends the search.
func (j *joiner) completeJoin(now time.Duration) {
	if !j.joined {
		j.joined = true
		j.joinedAt = now
	}
}

// onJoin replies with the table. While many nodes start it will soon hold more, so the
// reply is deferred then. Stable tells whether the table was stable before the message.
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

// sendDeferredReplies sends the table to the nodes that wait for it, once it is stable or
// the first of them has waited for twice the startup window.
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

// pastStartupWindow tells whether nodes that started together with this one have had
// the time to join.
func (j *joiner) pastStartupWindow(now time.Duration) bool {
	return now-j.startedAt >= j.config.startupWindow()
}

func (j *joiner) joinReply(now time.Duration) Message {
	return Message{Type: MessageJoinReply, Records: j.table.copyRecords(), Stable: j.table.isStable(now)}
}

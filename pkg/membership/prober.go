package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// roundsPerProbe is the number of heartbeat rounds from one probe to the next.
const roundsPerProbe = 5

// prober sends digests of this node's table at intervals to nodes that heartbeats and gossip
// may not reach: a random member, a certainly fenced member, and a vacant seed. So the two
// sides of a healed partition, or members that all restarted at once, discover each other
// again. It owns the schedule of the probes.
type prober struct {
	table   *memberTable
	sampler *sampler
	joiner  *joiner
	outbox  *outbox
	// heartbeatRounds counts the rounds of heartbeats that this node has sent. Probes
	// follow every roundsPerProbe-th round.
	heartbeatRounds uint64
	// fencedCursor counts the fenced members that nextFenced has examined, so that the
	// next call continues after the last one.
	fencedCursor int
}

// onHeartbeatRound counts a round of heartbeats and sends the probes that are due after it.
func (p *prober) onHeartbeatRound() {
	p.heartbeatRounds++
	if p.heartbeatRounds%roundsPerProbe != 0 {
		return
	}
	if id := p.sampler.randomMember(); id != "" {
		p.outbox.send(id, Message{Type: MessageGossip})
	}
	// A fenced member that has started again may know only members that started at the
	// same time.
	if id := p.nextFenced(); id != "" {
		p.outbox.send(id, Message{Type: MessageGossip})
	}
	if seed := p.sampler.randomSeed(p.joiner.vacantSeeds()); seed != "" {
		p.joiner.contactSeed(seed)
	}
}

// nextFenced cycles through the other members that are certainly fenced and haven't left: it
// returns the next one with each call, or "" if there is none.
func (p *prober) nextFenced() member.ID {
	fenced := p.table.fenced
	for range fenced {
		p.fencedCursor++
		id := fenced[p.fencedCursor%len(fenced)]
		if id != p.table.self && p.table.entries[id].record.State != StateLeft {
			return id
		}
	}
	return ""
}

package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// roundsPerProbe is the number of heartbeat rounds from one probe to the next.
const roundsPerProbe = 5

// prober compares this node's table now and then with nodes that neither heartbeats nor
// gossip reach: a random member, a fenced one, and a vacant seed. So the two sides of a
// healed partition, or members that all restarted at once, find each other again. It owns
// the turns.
type prober struct {
	table   *memberTable
	sampler *sampler
	joiner  *joiner
	outbox  *outbox
	// heartbeatRounds counts the rounds of heartbeats that this node has sent. Each
	// roundsPerProbe-th one is followed by probes.
	heartbeatRounds uint64
	// fencedCursor counts the fenced members that nextFenced has looked at, so that it
	// goes on after the last one.
	fencedCursor int
}

// onHeartbeatRound sends the probes that are due.
func (p *prober) onHeartbeatRound() {
	p.heartbeatRounds++
	if p.heartbeatRounds%roundsPerProbe != 0 {
		return
	}
	if id := p.sampler.randomMember(); id != "" {
		p.outbox.send(id, Message{Type: MessageGossip})
	}
	// A fenced member that starts again may know nobody but others that did so
	// together with it.
	if id := p.nextFenced(); id != "" {
		p.outbox.send(id, Message{Type: MessageGossip})
	}
	if seed := p.sampler.randomSeed(p.joiner.vacantSeeds()); seed != "" {
		p.joiner.contactSeed(seed)
	}
}

// nextFenced returns the other members that are certainly fenced and haven't left, one
// with each call, or "" if there is none.
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

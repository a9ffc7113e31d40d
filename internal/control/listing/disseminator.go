package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// directSendPeriod is how long a node that had to ask gets readings directly, in case the
// one that should pass them on does not.
const directSendPeriod = 10 * time.Second

// disseminator passes readings on: this node's own to all members, and those of another
// zone's reader within the zone. It owns what it has to remember for that.
type disseminator struct {
	members *readerOrder
	table   *table
	outbox  *outbox
	// requestedAt is when each node that had a list last asked this one.
	requestedAt map[member.ID]time.Duration
	// forwarded is the reading that was forwarded last.
	forwarded Version
}

// requested records that a node which has a list had to ask for a newer one.
func (d *disseminator) requested(now time.Duration, from member.ID) { d.requestedAt[from] = now }

// requestsDirectly reports whether a member had to ask this node lately.
func (d *disseminator) requestsDirectly(now time.Duration, id member.ID) bool {
	requestedAt, requested := d.requestedAt[id]
	return requested && now-requestedAt < directSendPeriod
}

// disseminate sends the newest reading to all members: to each one of this zone, and to
// one of every other zone, which passes it on.
func (d *disseminator) disseminate(now time.Duration, before storedReading) {
	reading := d.table.changesSince(now, before)
	sent := map[member.ID]struct{}{d.members.self: {}}
	sendOnce := func(to member.ID, forward bool) {
		if _, done := sent[to]; done {
			return
		}
		sent[to] = struct{}{}
		reading.Forward = forward
		d.outbox.sendReading(to, reading)
	}
	for _, one := range d.members.members {
		if one.Zone == d.members.zone || d.requestsDirectly(now, one.ID) {
			sendOnce(one.ID, false)
		}
	}
	for _, zone := range d.members.otherZones() {
		sendOnce(d.members.firstOfZone(zone), true)
	}
}

// forward passes a reading on within the zone, each reading once.
func (d *disseminator) forward(from member.ID, reading Reading) {
	if !reading.Forward || reading.Version == d.forwarded {
		return
	}
	d.forwarded = reading.Version
	reading.Forward = false
	for _, one := range d.members.members {
		if one.Zone != d.members.zone || one.ID == d.members.self || one.ID == from || one.ID == reading.Version.Reader {
			continue
		}
		d.outbox.sendReading(one.ID, reading)
	}
}

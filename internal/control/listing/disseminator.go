package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// directSendPeriod is how long after a request a node gets readings directly, in case the
// node that should forward them has failed.
const directSendPeriod = 10 * time.Second

// disseminator sends this node's own readings to all members, and forwards those of a
// reader in another zone within this node's zone. It owns the state that this requires.
type disseminator struct {
	members *readerOrder
	table   *table
	outbox  *outbox
	// requestedAt is when this node last received a request from each node that had a
	// list.
	requestedAt map[member.ID]time.Duration
	// forwarded is the version of the reading that was forwarded last.
	forwarded Version
}

// requested records that a node which has a list requested a newer one.
func (d *disseminator) requested(now time.Duration, from member.ID) { d.requestedAt[from] = now }

// requestsDirectly reports whether a member has sent this node a request within
// directSendPeriod.
func (d *disseminator) requestsDirectly(now time.Duration, id member.ID) bool {
	requestedAt, requested := d.requestedAt[id]
	return requested && now-requestedAt < directSendPeriod
}

// disseminate sends the newest reading to each member of this zone and to one member of
// every other zone, which forwards it there. Members that requested a reading lately also
// get it directly.
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

// forward sends a reading to the other members of the zone if its sender asked for that.
// It forwards each reading once.
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

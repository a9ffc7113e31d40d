package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// ListedReplica is a back end as the platform lists it.
type ListedReplica struct {
	Address string
	Zone    string
	// Instance is the platform's name of the back end's incarnation; empty if it
	// gives none.
	Instance string
	// Slots is how many requests it works on at once; 0 if unknown.
	Slots int
	// ColdRemaining is for how much longer it is cold, as of the reading.
	ColdRemaining time.Duration
	// WeightVersion is the version that the list shows, which may lag; empty if
	// it shows none.
	WeightVersion string
	Draining      bool
}

// ListedService is a service with its back ends as the platform lists them.
type ListedService struct {
	Name     string
	Replicas []ListedReplica
}

// ListReading is the outcome of one reading of the platform's list by this node.
type ListReading struct {
	// StartedAt is when the reading began: the list is no older.
	StartedAt time.Duration
	Services  []ListedService
	// Err is set if the reading failed; the last list stays in force.
	Err error
}

// freshList is how old a list may be for a new life of this node to serve by it.
// Until the next reading comes, a replica may drain that long unnoticed.
const freshList = 2 * time.Second

// newListing starts this node's part in reading and spreading the list.
func newListing(config Config, now time.Duration) *listing.Machine {
	return listing.New(listing.Config{
		Self:      config.Self.ID,
		Zone:      config.Self.Zone,
		ReadEvery: config.Times.ListReadEvery,
	}, now)
}

// ListRead takes the outcome of a reading that an Output asked for.
func (m *Machine) ListRead(now time.Duration, reading ListReading) Output {
	m.now = now
	m.takeListing(m.list.ReadDone(now, reading.StartedAt, replicasRead(reading), reading.Err))
	return m.take()
}

// replicasRead turns a reading into a list with times of this node's clock.
func replicasRead(reading ListReading) []listing.Replica {
	var replicas []listing.Replica
	for _, service := range reading.Services {
		for _, replica := range service.Replicas {
			replicas = append(replicas, listing.Replica{
				Service:       service.Name,
				Address:       replica.Address,
				Zone:          replica.Zone,
				Instance:      replica.Instance,
				WeightVersion: replica.WeightVersion,
				Slots:         replica.Slots,
				Draining:      replica.Draining,
				ColdUntil:     coldUntil(reading.StartedAt, replica.ColdRemaining),
			})
		}
	}
	return replicas
}

// coldUntil is 0 for a warm replica.
func coldUntil(readAt, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return readAt + remaining
}

// ReadsList tells whether this node reads the platform's list for the others.
func (m *Machine) ReadsList() bool { return m.list.Reads() }

func (m *Machine) tickList() {
	m.takeListing(m.list.Tick(m.now))
	m.noteFreshList()
}

// takeListing carries out what the list's machine wants.
func (m *Machine) takeListing(output listing.Output) {
	if output.Read {
		m.output.ReadList = true
	}
	for _, out := range output.Sends {
		m.sendListing(out)
	}
	if output.Changed {
		m.backends.setReplicas(m.list.Replicas())
	}
	m.noteFreshList()
}

// noteFreshList lets the present life of this node serve by the list, once that is
// known to be fresh.
func (m *Machine) noteFreshList() {
	if readAt, proven := m.list.ProvenAt(); proven && m.now-readAt < freshList {
		m.registry.listed = true
	}
}

func (m *Machine) sendListing(out listing.Outbound) {
	payload, err := out.Message.Encode()
	if err != nil {
		// Nothing of the platform's is unencodable but text that is not UTF-8.
		return
	}
	kind := protocol.MessageList
	if out.Message.Request != nil {
		kind = protocol.MessageListRequest
	}
	m.sendControl(out.To, protocol.Message{Type: kind, Payload: payload})
}

// receiveListing takes another node's message about the list. One that can't be
// read is dropped: the next reading comes soon.
func (m *Machine) receiveListing(from member.ID, payload []byte, decode func([]byte) (listing.Message, error)) {
	message, err := decode(payload)
	if err != nil {
		return
	}
	m.takeListing(m.list.Step(m.now, from, message))
}

// setListMembers tells who may read the list.
func (m *Machine) setListMembers(records []membership.Record) {
	var members []listing.Member
	for _, record := range records {
		if !isLive(record) {
			continue
		}
		members = append(members, listing.Member{
			ID:         record.Info.ID,
			Zone:       record.Info.Zone,
			HoldsState: record.Info.HoldsState,
			Suspect:    record.State == membership.StateSuspect && record.Info.ID != m.config.Self.ID,
		})
	}
	m.list.SetMembers(members)
}

package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Endpoint is a back end as the platform lists it.
type Endpoint struct {
	Address string
	Zone    string
	// Instance is the platform's name of the back end's incarnation; empty if it
	// gives none.
	Instance string
	// Slots is how many requests it works on at once; 0 if unknown.
	Slots int
	// WarmUpRemaining is how much longer its warm-up lasts, as of the reading.
	WarmUpRemaining time.Duration
	// WeightVersion is the version that the list shows, which may lag; empty if
	// it shows none.
	WeightVersion string
	Draining      bool
}

// ServiceEndpoints is a service with its back ends as the platform lists them.
type ServiceEndpoints struct {
	Name      string
	Endpoints []Endpoint
}

// EndpointReading is the outcome of one reading of the platform's list by this node.
type EndpointReading struct {
	// StartedAt is when the reading began: the list is no older.
	StartedAt time.Duration
	Services  []ServiceEndpoints
	// Err is set if the reading failed; the last list stays in force.
	Err error
}

// endpointsFreshFor is how old a list may be for a new incarnation of this node to serve by it.
// Until the next reading comes, a replica may drain that long unnoticed.
const endpointsFreshFor = 2 * time.Second

// newEndpointsMachine starts this node's part in reading and spreading the list.
func newEndpointsMachine(config Config, now time.Duration) *listing.Machine {
	return listing.New(listing.Config{
		Self:      config.Self.ID,
		Zone:      config.Self.Zone,
		ReadEvery: config.Times.EndpointReadEvery,
	}, now)
}

// EndpointsRead takes the outcome of a reading that an Output asked for.
func (m *Machine) EndpointsRead(now time.Duration, reading EndpointReading) Output {
	m.now = now
	m.handleEndpointsOutput(m.endpoints.ReadDone(now, reading.StartedAt, endpointsOf(reading), reading.Err))
	return m.takeOutput()
}

// endpointsOf turns a reading into a list with times of this node's clock.
func endpointsOf(reading EndpointReading) []listing.Replica {
	var replicas []listing.Replica
	for _, service := range reading.Services {
		for _, replica := range service.Endpoints {
			replicas = append(replicas, listing.Replica{
				Service:       service.Name,
				Address:       replica.Address,
				Zone:          replica.Zone,
				Instance:      replica.Instance,
				WeightVersion: replica.WeightVersion,
				Slots:         replica.Slots,
				Draining:      replica.Draining,
				WarmingUntil:  warmingUntil(reading.StartedAt, replica.WarmUpRemaining),
			})
		}
	}
	return replicas
}

// warmingUntil is 0 for a warm replica.
func warmingUntil(readAt, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return readAt + remaining
}

// ReadsEndpoints reports whether this node reads the platform's list for the others.
func (m *Machine) ReadsEndpoints() bool { return m.endpoints.Reads() }

func (m *Machine) tickEndpoints() {
	m.handleEndpointsOutput(m.endpoints.Tick(m.now))
	m.confirmFreshEndpoints()
}

// handleEndpointsOutput carries out what the list's machine wants.
func (m *Machine) handleEndpointsOutput(output listing.Output) {
	if output.Read {
		m.output.ReadEndpoints = true
	}
	for _, out := range output.Sends {
		m.sendEndpoints(out)
	}
	if output.Changed {
		m.backends.set(m.endpoints.Replicas())
		m.rollout.ForgetAbsent(m.endpoints.Replicas())
		m.viewStale = true
	}
	m.confirmFreshEndpoints()
}

// confirmFreshEndpoints lets the present incarnation of this node serve by the list, once
// that is known to be fresh.
func (m *Machine) confirmFreshEndpoints() {
	if readAt, proven := m.endpoints.ProvenAt(); proven && m.now-readAt < endpointsFreshFor {
		m.freshness.fresh = true
	}
}

// endpointsTimeout is how long a new incarnation waits for the platform's list. A node
// that was partitioned or frozen must not admit by a list from before, in which a replica
// may stand that drains by now; but it must serve while the platform is down.
const endpointsTimeout = 1500 * time.Millisecond

// endpointFreshness reports whether the present incarnation of a node may serve by the
// platform's list.
type endpointFreshness struct {
	incarnation member.Incarnation
	// since is when the incarnation was first seen.
	since time.Duration
	// fresh means that the list was read in the incarnation.
	fresh bool
}

// follow begins anew with another incarnation, and reports whether it did.
func (f *endpointFreshness) follow(now time.Duration, incarnation member.Incarnation) bool {
	if incarnation == f.incarnation {
		return false
	}
	*f = endpointFreshness{incarnation: incarnation, since: now}
	return true
}

// usable reports whether the list is good enough to serve by.
func (f *endpointFreshness) usable(now time.Duration) bool {
	return f.fresh || now-f.since >= endpointsTimeout
}

func (m *Machine) sendEndpoints(out listing.Outbound) {
	payload, err := out.Message.Encode()
	if err != nil {
		// Nothing of the platform's is unencodable but text that is not UTF-8.
		return
	}
	kind := protocol.MessageEndpoints
	if out.Message.Request != nil {
		kind = protocol.MessageEndpointsRequest
	}
	m.sendControl(out.To, protocol.Message{Type: kind, Payload: payload})
}

// receiveEndpoints takes another node's message about the list. One that can't be
// read is dropped: the next reading comes soon.
func (m *Machine) receiveEndpoints(from member.ID, payload []byte, decode func([]byte) (listing.Message, error)) {
	message, err := decode(payload)
	if err != nil {
		return
	}
	m.handleEndpointsOutput(m.endpoints.Step(m.now, from, message))
}

// backends is the platform's list of back ends as this node uses it. It changes with
// what the list's machine puts in force, and with nothing else.
type backends struct {
	services map[string][]listing.Replica
	// known means that a list has been put in force.
	known bool
}

func newBackends() backends {
	return backends{services: map[string][]listing.Replica{}}
}

// set puts a list in force.
func (b *backends) set(replicas []listing.Replica) {
	b.services = map[string][]listing.Replica{}
	for _, replica := range replicas {
		b.services[replica.Service] = append(b.services[replica.Service], replica)
	}
	b.known = true
}

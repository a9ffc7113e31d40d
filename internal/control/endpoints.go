package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
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

// localEndpoints are the back ends of the platform's list on this node. It owns the machine
// that keeps the list on all nodes, the list as this node uses it, and whether the node may
// serve by it.
type localEndpoints struct {
	outbox  *outbox
	rollout *rollout.Machine
	views   *viewRefresher

	machine   *listing.Machine
	inUse     backends
	freshness endpointFreshness
	// readRequested means that this node is to read the list.
	readRequested bool
}

func newLocalEndpoints(config Config, outbox *outbox, rollout *rollout.Machine, views *viewRefresher, now time.Duration) *localEndpoints {
	return &localEndpoints{
		outbox:  outbox,
		rollout: rollout,
		views:   views,
		machine: listing.New(listing.Config{
			Self:      config.Self.ID,
			Zone:      config.Self.Zone,
			ReadEvery: config.Times.EndpointReadEvery,
		}, now),
		inUse: newBackends(),
	}
}

func (e *localEndpoints) tick(now time.Duration) { e.perform(now, e.machine.Tick(now)) }

// readDone takes the outcome of a reading by this node.
func (e *localEndpoints) readDone(now time.Duration, reading EndpointReading) {
	e.perform(now, e.machine.ReadDone(now, reading.StartedAt, endpointsOf(reading), reading.Err))
}

// receive takes another node's message about the list. One that can't be read is dropped:
// the next reading comes soon.
func (e *localEndpoints) receive(now time.Duration, from member.ID, message protocol.Message) {
	decode := listing.DecodeReading
	if message.Type == protocol.MessageEndpointsRequest {
		decode = listing.DecodeRequest
	}
	if decoded, err := decode(message.Payload); err == nil {
		e.perform(now, e.machine.Step(now, from, decoded))
	}
}

// perform carries out what the list's machine wants.
func (e *localEndpoints) perform(now time.Duration, output listing.Output) {
	e.readRequested = e.readRequested || output.Read
	for _, out := range output.Sends {
		e.send(out)
	}
	if output.Changed {
		e.inUse.set(e.machine.Replicas())
		e.rollout.ForgetAbsent(e.machine.Replicas())
		e.views.invalidate()
	}
	if readAt, proven := e.machine.ProvenAt(); proven {
		e.freshness.prove(now, readAt)
	}
}

func (e *localEndpoints) send(out listing.Outbound) {
	payload, err := out.Message.Encode()
	if err != nil {
		// Nothing of the platform's is unencodable but text that is not UTF-8.
		return
	}
	kind := protocol.MessageEndpoints
	if out.Message.Request != nil {
		kind = protocol.MessageEndpointsRequest
	}
	e.outbox.Send(out.To, protocol.Message{Type: kind, Payload: payload})
}

// followIncarnation has the list proven fresh anew for another incarnation of this node.
func (e *localEndpoints) followIncarnation(now time.Duration, incarnation member.Incarnation) {
	if e.freshness.setIncarnation(now, incarnation) {
		e.machine.RequestProof()
	}
}

// takeReadRequest reports whether this node is to read the list, once for each reading.
func (e *localEndpoints) takeReadRequest() bool {
	requested := e.readRequested
	e.readRequested = false
	return requested
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

// maxEndpointsAge is how old a list may be for a new incarnation of this node to serve by it.
// Until the next reading comes, a replica may drain that long unnoticed.
const maxEndpointsAge = 2 * time.Second

// endpointsTimeout is how long a new incarnation waits for the platform's list. A node
// that was partitioned or frozen must not admit by a list from before, in which a replica
// may stand that drains by now; but it must serve while the platform is down.
const endpointsTimeout = 1500 * time.Millisecond

// endpointFreshness decides whether the present incarnation of a node may serve by the
// platform's list.
type endpointFreshness struct {
	incarnation member.Incarnation
	// since is when the incarnation was first seen.
	since time.Duration
	// fresh means that, within the incarnation, the list was proven younger than
	// maxEndpointsAge.
	fresh bool
}

// setIncarnation begins anew with another incarnation, and reports whether it did.
func (f *endpointFreshness) setIncarnation(now time.Duration, incarnation member.Incarnation) bool {
	if incarnation == f.incarnation {
		return false
	}
	*f = endpointFreshness{incarnation: incarnation, since: now}
	return true
}

// prove lets the incarnation serve by the list if that was read not long before now.
func (f *endpointFreshness) prove(now, readAt time.Duration) {
	f.fresh = f.fresh || now-readAt < maxEndpointsAge
}

// usable reports whether the list is good enough to serve by.
func (f *endpointFreshness) usable(now time.Duration) bool {
	return f.fresh || now-f.since >= endpointsTimeout
}

package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Endpoint is a back end in the platform's endpoint list.
type Endpoint struct {
	Address string
	Zone    string
	// Instance is the platform's name for the present incarnation of the back end; empty
	// if the platform gives none.
	Instance string
	// Slots is the number of requests that the back end processes at once; 0 if unknown.
	Slots int
	// WarmUpRemaining is how much longer the warm-up lasted when the list was read.
	WarmUpRemaining time.Duration
	// WeightVersion is the version that the list shows, which may be outdated; empty if
	// the list shows none.
	WeightVersion string
	Draining      bool
}

// ServiceEndpoints is a service with its back ends in the platform's endpoint list.
type ServiceEndpoints struct {
	Name      string
	Endpoints []Endpoint
}

// EndpointReading is the result of reading the platform's endpoint list on this node.
type EndpointReading struct {
	// StartedAt is when the reading began, so that the list is no older than that.
	StartedAt time.Duration
	Services  []ServiceEndpoints
	// Err is set if the reading failed. The last list then stays in force.
	Err error
}

// localEndpoints manages the platform's endpoint list on this node. It owns the machine that
// distributes the list to all nodes, the list in use, and whether it is recent enough for
// this node to serve with.
type localEndpoints struct {
	outbox  *outbox
	rollout *rollout.Machine
	views   *viewRefresher

	machine   *listing.Machine
	inUse     backends
	freshness endpointFreshness
	// readRequested means that the next Output asks for a reading of the list.
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

// readDone handles the result of a reading by this node.
func (e *localEndpoints) readDone(now time.Duration, reading EndpointReading) {
	e.perform(now, e.machine.ReadDone(now, reading.StartedAt, endpointsOf(reading), reading.Err))
}

// receive handles another node's message about the list. A message that can't be decoded is
// dropped, because the next reading follows soon.
func (e *localEndpoints) receive(now time.Duration, from member.ID, message protocol.Message) {
	decode := listing.DecodeReading
	if message.Type == protocol.MessageEndpointsRequest {
		decode = listing.DecodeRequest
	}
	if decoded, err := decode(message.Payload); err == nil {
		e.perform(now, e.machine.Step(now, from, decoded))
	}
}

// perform carries out an output of the machine that distributes the list.
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
		// Encoding fails only if the platform's list contains text that is not UTF-8.
		return
	}
	kind := protocol.MessageEndpoints
	if out.Message.Request != nil {
		kind = protocol.MessageEndpointsRequest
	}
	e.outbox.Send(out.To, protocol.Message{Type: kind, Payload: payload})
}

// followIncarnation requests a new proof that the list is recent if the incarnation of this
// node has changed.
func (e *localEndpoints) followIncarnation(now time.Duration, incarnation member.Incarnation) {
	if e.freshness.setIncarnation(now, incarnation) {
		e.machine.RequestProof()
	}
}

// takeReadRequest reports whether this node is to read the list, and clears the request.
func (e *localEndpoints) takeReadRequest() bool {
	requested := e.readRequested
	e.readRequested = false
	return requested
}

// endpointsOf converts a reading to a list whose times are those of this node's clock.
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

// warmingUntil returns when the warm-up of a replica ends; 0 for a warm replica.
func warmingUntil(readAt, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return readAt + remaining
}

// backends is the endpoint list that this node uses. It changes only when listing.Machine
// puts a new list in force.
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

// maxEndpointsAge is the maximum age of a list with which a new incarnation of this node may
// begin to serve. A replica that began to drain within that time stays unnoticed until the
// next reading.
const maxEndpointsAge = 2 * time.Second

// endpointsTimeout is how long a new incarnation waits for a recent endpoint list before it
// serves with the one it has. A node that was partitioned or frozen must not admit requests
// with an older list, which may contain a replica that is draining by now. The wait is
// bounded because the node must serve while the platform is down.
const endpointsTimeout = 1500 * time.Millisecond

// endpointFreshness decides whether the present incarnation of a node may serve with the
// endpoint list that it has.
type endpointFreshness struct {
	incarnation member.Incarnation
	// since is when the incarnation was first seen.
	since time.Duration
	// fresh means that the list was proven younger than maxEndpointsAge at some time within
	// the incarnation.
	fresh bool
}

// setIncarnation resets the state if the incarnation has changed, and reports whether it
// has.
func (f *endpointFreshness) setIncarnation(now time.Duration, incarnation member.Incarnation) bool {
	if incarnation == f.incarnation {
		return false
	}
	*f = endpointFreshness{incarnation: incarnation, since: now}
	return true
}

// prove records that the list was read at readAt or later, and lets the incarnation serve if
// that is less than maxEndpointsAge ago.
func (f *endpointFreshness) prove(now, readAt time.Duration) {
	f.fresh = f.fresh || now-readAt < maxEndpointsAge
}

// usable reports whether the node may serve with the list: it was proven recent, or the wait
// for a recent one has timed out.
func (f *endpointFreshness) usable(now time.Duration) bool {
	return f.fresh || now-f.since >= endpointsTimeout
}

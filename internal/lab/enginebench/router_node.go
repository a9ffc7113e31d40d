package enginebench

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
)

// RouterSettings configure the prefix-aware router.
type RouterSettings struct {
	Options  kvrouter.Options
	Settings kvrouter.Settings
	Engine   kvrouter.EngineProfile
	// SamePriority gives all requests one priority at the replicas.
	SamePriority bool
}

// priority returns the priority of a class at the replicas.
func (s *RouterSettings) priority(class *Class) uint8 {
	if s.SamePriority {
		return samePriority
	}
	return class.Priority
}

// samePriority is the priority of requests without one.
const samePriority = 5

// maxNodes bounds the number of routers of a fleet.
const maxNodes = 2000

// nodeNames are the names of the routers.
var nodeNames = lo.Times(maxNodes, func(number int) string { return fmt.Sprint("node-", number) })

// routerNode is a node with the router of the product.
type routerNode struct {
	sim        *simulation
	number     int
	router     *kvrouter.Router
	candidates []kvrouter.Candidate
	// numbers are the numbers of the replicas by address.
	numbers  map[string]int
	settings RouterSettings
}

func newRouterNode(s *simulation, nodeNumber int) *routerNode {
	engine := &s.settings.Profile.Engine
	settings := RouterSettings{
		Settings: kvrouter.DefaultEngineSettings(),
		Engine: kvrouter.EngineProfile{
			Slots: engine.Slots, MemoryTokens: float64(engine.MemoryTokens), BytesPerToken: engine.BytesPerToken,
			LinkBitsPerSecond: engine.LinkBitsPerSecond, StoreLinkBitsPerSecond: engine.StoreBitsPerSecond, StoreTokens: float64(engine.StoreTokens),
		},
	}
	if s.settings.Tune != nil {
		s.settings.Tune(&settings)
	}
	settings.Options.Name = fmt.Sprint(nodeNumber)
	n := &routerNode{sim: s, number: nodeNumber, router: kvrouter.New(settings.Options), numbers: map[string]int{}, settings: settings}
	for number, replica := range s.replicas {
		n.candidates = append(n.candidates, kvrouter.Candidate{
			Address: replica.address, Zone: fmt.Sprint(replica.zone), WeightVersion: "1", Instance: replica.address,
		})
		n.numbers[replica.address] = number
	}
	return n
}

func (n *routerNode) route(now time.Duration, arrival *arrival) (placement, time.Duration) {
	request := kvrouter.Request{
		Now: now, Model: model, Chunks: arrival.chunks, Naming: kvrouter.ByID, OutputTokens: uint32(4 * arrival.class.OutputTokens),
		SaltFor: func(string) string { return salt }, Settings: n.settings.Settings, Engine: &n.settings.Engine,
		Priority: n.settings.priority(arrival.class), MaxWait: arrival.class.Deadline / 2, Zone: fmt.Sprint(n.sim.zoneOf(n.number)),
	}
	if n.sim.store != nil {
		request.Store, request.StoreZone = n.sim.store.address, fmt.Sprint(n.sim.store.zone)
	}
	decision, err := n.router.Select(request, n.candidates)
	var none *kvrouter.NoReplicaError
	if errors.As(err, &none) {
		return placement{}, none.RetryAfter
	}
	placed := placement{
		replica: n.numbers[decision.Address], priority: n.settings.priority(arrival.class), save: decision.Save, reservation: decision.Reservation,
		wait: decision.Wait, assumedTokens: int(decision.OverlapTokens),
	}
	if decision.Pull != nil {
		placed.source = n.ownerAt(decision.Pull.Source)
	}
	n.announceDispatch(now, &decision, arrival)
	return placed, 0
}

// announceDispatch announces a dispatch to the other routers, with the next load
// exchange.
func (n *routerNode) announceDispatch(now time.Duration, decision *kvrouter.Decision, arrival *arrival) {
	if n.sim.settings.LoadExchangeInterval == 0 {
		return
	}
	address, save := decision.Address, decision.Save
	n.sim.timers.Add(now+n.sim.settings.LoadExchangeInterval, func(now time.Duration) {
		for number, other := range n.sim.nodes {
			if number == n.number {
				continue
			}
			router := other.(*routerNode).router
			router.ObserveDispatch(now, address, model, salt, kvrouter.ByID, arrival.chunks)
			if save {
				router.ObserveDispatch(now, n.sim.store.address, model, salt, kvrouter.ByID, arrival.chunks)
			}
		}
	})
}

// ownerAt returns the replica at an address, or else the store.
func (n *routerNode) ownerAt(address string) *owner {
	if number, found := n.numbers[address]; found {
		return &n.sim.replicas[number].owner
	}
	return n.sim.store
}

func (n *routerNode) firstEvent(now time.Duration, placed *placement) {
	placed.reservation.FirstToken(now)
}

func (n *routerNode) finished(now time.Duration, placed *placement) {
	placed.reservation.Finish(now, true)
}

func (n *routerNode) changes(now time.Duration, address string, position cachefeed.Position, changes []cachefeed.ChunkChange) {
	n.router.ChunksReported(now, address, position, changes)
}

func (n *routerNode) report(now time.Duration, address string, report kvrouter.Report) {
	n.router.Report(now, address, report)
}

func (n *routerNode) loads(now time.Duration) []kvrouter.AddressLoad { return n.router.LocalLoads(now) }

func (n *routerNode) remoteLoads(now time.Duration, from int, loads []kvrouter.AddressLoad) {
	for _, load := range loads {
		n.router.SetRemoteLoad(now, nodeNames[from], load.Address, load.SharedLoad)
	}
}

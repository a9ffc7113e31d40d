package hollow

import (
	"encoding/binary"
	"net"
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/transport"
)

// targetBytes is the length of the node number before a frame on a shared
// socket.
const targetBytes = 4

// Queues of a shared transport stand for those of many nodes.
const (
	sharedQueuedFrames = 1 << 18
	sharedQueuedBytes  = 1 << 30
)

// deliver hands a frame to a node.
type deliver func(node int, frame []byte)

// network carries frames between hollow nodes.
type network interface {
	// addresses are the internal addresses of the nodes, by number.
	addresses() []string
	// send carries a frame and never blocks.
	send(from int, address string, frame []byte)
	// dropped counts the frames that were lost.
	dropped() uint64
	close()
}

// transportNetwork carries frames over TCP on the loopback: over a transport for
// each zone, or for each node.
type transportNetwork struct {
	settings   Settings
	transports []*transport.Transport
	names      []string
	// numbers are the nodes by address.
	numbers map[string]int
	receive deliver
	unknown atomic.Uint64
}

// newTransportNetwork listens for all nodes.
func newTransportNetwork(settings Settings, receive deliver) (*transportNetwork, error) {
	carrier := &transportNetwork{settings: settings, numbers: map[string]int{}, receive: receive}
	count := settings.Zones
	if settings.Sockets == PerNodeSockets {
		count = settings.Nodes
	}
	for number := range count {
		if err := carrier.listen(number); err != nil {
			carrier.close()
			return nil, err
		}
	}
	for number := range settings.Nodes {
		address := net.JoinHostPort(settings.hostOf(number), internalPort)
		if settings.Sockets == PerNodeSockets {
			address = carrier.transports[number].Address()
		}
		carrier.names = append(carrier.names, address)
		carrier.numbers[address] = number
	}
	return carrier, nil
}

// listen starts one transport at a free port. With own sockets, its number is
// that of the node.
func (n *transportNetwork) listen(number int) error {
	handler := n.receiveShared
	options := transport.Options{MaxQueuedFrames: sharedQueuedFrames, MaxQueuedBytes: sharedQueuedBytes}
	if n.settings.Sockets == PerNodeSockets {
		options = transport.Options{}
		handler = func(frame []byte) { n.receive(number, frame) }
	}
	listening, err := transport.Listen(net.JoinHostPort(n.settings.hostOf(number), "0"), handler, options)
	if err != nil {
		return err
	}
	n.transports = append(n.transports, listening)
	return nil
}

// receiveShared reads which node of the zone a frame is for.
func (n *transportNetwork) receiveShared(frame []byte) {
	if len(frame) < targetBytes {
		return
	}
	target := int(binary.BigEndian.Uint32(frame))
	if target < n.settings.Nodes {
		n.receive(target, frame[targetBytes:])
	}
}

func (n *transportNetwork) addresses() []string { return n.names }

func (n *transportNetwork) send(from int, address string, frame []byte) {
	if n.settings.Sockets == PerNodeSockets {
		n.transports[from].Send(address, frame)
		return
	}
	target, known := n.numbers[address]
	if !known {
		n.unknown.Add(1)
		return
	}
	prefixed := make([]byte, targetBytes, targetBytes+len(frame))
	binary.BigEndian.PutUint32(prefixed, uint32(target))
	receiver := n.transports[n.settings.zoneOf(target)]
	n.transports[n.settings.zoneOf(from)].Send(receiver.Address(), append(prefixed, frame...))
}

func (n *transportNetwork) dropped() uint64 {
	lost := n.unknown.Load()
	for _, carrier := range n.transports {
		stats := carrier.Stats()
		lost += stats.DroppedFull + stats.DroppedUnsent + stats.DroppedSize
	}
	return lost
}

func (n *transportNetwork) close() {
	for _, carrier := range n.transports {
		carrier.Close()
	}
}

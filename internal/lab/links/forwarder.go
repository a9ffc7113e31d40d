package links

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the time to connect to the machine behind a forwarder.
	dialTimeout = time.Second
	// bufferBytes is the most that a stream reads at once.
	bufferBytes = 64 << 10
)

// Forwarder accepts connections at one machine's address and relays them to
// where the machine listens.
type Forwarder struct {
	network *Network
	// machine is the IP address of the listener, by which links name the machine.
	machine netip.Addr
	// target is the IP address and port at which the machine listens.
	target   string
	listener net.Listener
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Forward starts a forwarder from an address to a target, both an IP address and a
// port. Links name the machine by the IP address of address. The forwarder outlives
// the context: only Close stops it.
func (network *Network) Forward(ctx context.Context, address, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "forward from %s", address)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	forwarder := &Forwarder{
		network: network, machine: ipOf(listener.Addr()), target: target,
		listener: listener, cancel: cancel,
	}
	forwarder.running.Go(func() { forwarder.accept(ctx) })
	return forwarder, nil
}

// Address returns the address at which the forwarder accepts connections.
func (forwarder *Forwarder) Address() string { return forwarder.listener.Addr().String() }

// Close closes all connections and returns when all goroutines have ended.
func (forwarder *Forwarder) Close() {
	forwarder.cancel()
	_ = forwarder.listener.Close()
	forwarder.running.Wait()
}

// accept relays connections until the listener is closed.
func (forwarder *Forwarder) accept(ctx context.Context) {
	for {
		connection, err := forwarder.listener.Accept()
		if err != nil {
			return
		}
		forwarder.running.Go(func() { forwarder.relay(ctx, connection) })
	}
}

// relay relays between a connection and a new one to the target, which has the same
// source IP address as the first.
func (forwarder *Forwarder) relay(ctx context.Context, inbound net.Conn) {
	defer func() { _ = inbound.Close() }()
	from := ipOf(inbound.RemoteAddr())
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	outbound, err := dialer.DialContext(ctx, "tcp", forwarder.target)
	if err != nil {
		reset(inbound)
		return
	}
	defer func() { _ = outbound.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = inbound.Close()
		_ = outbound.Close()
	})
	defer stop()
	request := &stream{
		network: forwarder.network, link: Link{From: from, To: forwarder.machine},
		from: inbound, to: outbound,
	}
	response := &stream{
		network: forwarder.network, link: Link{From: forwarder.machine, To: from},
		from: outbound, to: inbound,
	}
	var pumping sync.WaitGroup
	pumping.Go(func() { request.pump(ctx) })
	pumping.Go(func() { response.pump(ctx) })
	pumping.Wait()
}

// reset makes a later close of the connection send a TCP reset, so that the other side
// sees that nobody listens here.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// ipOf returns the IP address of a TCP address; an IPv4-mapped IPv6 address is returned
// as IPv4.
func ipOf(address net.Addr) netip.Addr {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

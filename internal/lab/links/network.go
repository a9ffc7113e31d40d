package links

import (
	"net/netip"
	"sync"
	"time"
)

// Link is one direction between two machines, by their IP addresses.
type Link struct {
	From netip.Addr
	To   netip.Addr
}

// LinkState is how a link treats bytes. The zero value passes them without delay.
type LinkState struct {
	// Blocked loses all bytes.
	Blocked bool
	// Delay delays bytes: each by at least Delay, and by at most twice as long.
	Delay time.Duration
}

// Network owns the state of every link. It is safe for concurrent use.
type Network struct {
	// OnLoss, unless nil, is called with the link and the number of bytes that it
	// lost. It must be set before the first forwarder starts.
	OnLoss func(link Link, bytes int)

	// lock guards the fields below and the closed field of every stream.
	lock   sync.Mutex
	states map[Link]LinkState
	// changed is closed and replaced whenever a state changes.
	changed chan struct{}
	// gapped is the set of streams that have lost bytes.
	gapped map[*stream]struct{}
}

// NewNetwork returns a network whose links pass all bytes without delay.
func NewNetwork() *Network {
	return &Network{
		states: make(map[Link]LinkState), changed: make(chan struct{}),
		gapped: make(map[*stream]struct{}),
	}
}

// SetState sets the state of links. Streams that lost bytes on a link which is no
// longer blocked are closed.
func (network *Network) SetState(links []Link, state LinkState) {
	network.lock.Lock()
	defer network.lock.Unlock()
	for _, link := range links {
		network.states[link] = state
	}
	for gapped := range network.gapped {
		if !network.states[gapped.link].Blocked {
			gapped.close()
			delete(network.gapped, gapped)
		}
	}
	close(network.changed)
	network.changed = make(chan struct{})
}

// state returns the state of a link, and a channel that is closed when any state
// changes.
func (network *Network) state(link Link) (LinkState, <-chan struct{}) {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.states[link], network.changed
}

// loses reports whether bytes of a stream are lost. Once a stream has lost bytes, all
// later ones are lost too, because the receiver must not see a stream with a gap.
func (network *Network) loses(s *stream, bytes int) bool {
	network.lock.Lock()
	_, gapped := network.gapped[s]
	lost := gapped || s.closed || network.states[s.link].Blocked
	if lost && !s.closed {
		network.gapped[s] = struct{}{}
	}
	network.lock.Unlock()
	if lost && network.OnLoss != nil {
		network.OnLoss(s.link, bytes)
	}
	return lost
}

// forget removes a stream that has ended from gapped.
func (network *Network) forget(s *stream) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.gapped, s)
}

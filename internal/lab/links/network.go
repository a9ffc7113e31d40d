package links

import (
	"net/netip"
	"sync"
	"time"
)

// Link is one direction between two machines, by their IP numbers.
type Link struct {
	From netip.Addr
	To   netip.Addr
}

// LinkState is what a link does to bytes. The zero value passes them at once.
type LinkState struct {
	// Blocked loses all bytes.
	Blocked bool
	// Delay holds bytes back: each by at least Delay, and by at most twice as
	// long.
	Delay time.Duration
}

// Network holds the treatment of every link. It is safe for concurrent use.
type Network struct {
	// OnLoss is called with the link and the number of bytes that it lost; nil
	// for nothing. It is set before the first forwarder starts.
	OnLoss func(link Link, bytes int)

	lock       sync.Mutex
	treatments map[Link]LinkState
	// changed is closed and made again whenever a treatment changes.
	changed chan struct{}
	// spoiled holds the streams that have lost bytes.
	spoiled map[*stream]struct{}
}

// NewNetwork returns a network in which everything passes at once.
func NewNetwork() *Network {
	return &Network{
		treatments: make(map[Link]LinkState), changed: make(chan struct{}),
		spoiled: make(map[*stream]struct{}),
	}
}

// Treat sets the treatment of links. Streams that lost bytes on a link which is
// no longer cut are closed.
func (network *Network) Treat(links []Link, treatment LinkState) {
	network.lock.Lock()
	defer network.lock.Unlock()
	for _, link := range links {
		network.treatments[link] = treatment
	}
	for spoiled := range network.spoiled {
		if !network.treatments[spoiled.link].Blocked {
			spoiled.close()
			delete(network.spoiled, spoiled)
		}
	}
	close(network.changed)
	network.changed = make(chan struct{})
}

// treatment returns the treatment of a link, and a channel that closes when
// any treatment changes.
func (network *Network) treatment(link Link) (LinkState, <-chan struct{}) {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.treatments[link], network.changed
}

// loses reports whether bytes of a stream are lost. Once some were, all that
// follow are, since the receiver must not see a stream with a gap.
func (network *Network) loses(one *stream, bytes int) bool {
	network.lock.Lock()
	_, spoiled := network.spoiled[one]
	lost := spoiled || one.closed || network.treatments[one.link].Blocked
	if lost && !one.closed {
		network.spoiled[one] = struct{}{}
	}
	network.lock.Unlock()
	if lost && network.OnLoss != nil {
		network.OnLoss(one.link, bytes)
	}
	return lost
}

// forget drops a stream that has ended.
func (network *Network) forget(one *stream) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.spoiled, one)
}

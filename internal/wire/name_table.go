package wire

import (
	"net/netip"
	"sync"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
)

// textTable assigns an index to each distinct text of a message.
type textTable struct {
	indexes map[string]uint32
	texts   []string
}

func newTextTable() *textTable {
	return &textTable{indexes: map[string]uint32{}}
}

// index returns the index of a text, and adds it if it is new.
func (t *textTable) index(text string) uint32 {
	existing, found := t.indexes[text]
	if found {
		return existing
	}
	added := uint32(len(t.texts))
	t.indexes[text] = added
	t.texts = append(t.texts, text)
	return added
}

// nameTable assigns an index to each distinct name of a Traffic message. Most names
// are IPv4 addresses with ports, which take 8 bytes as endpoints and about 24 as texts.
type nameTable struct {
	indexes   map[string]uint32
	endpoints []uint64
	texts     *textTable
}

// newNameTable returns a table that contains the endpoints of a batch. They are collected
// before any text is added, since the indexes of texts follow those of all endpoints.
func newNameTable(batch *gossip.Batch) *nameTable {
	table := &nameTable{indexes: map[string]uint32{}, texts: newTextTable()}
	for i := range batch.Updates {
		table.addUpdateEndpoints(&batch.Updates[i])
	}
	return table
}

// addUpdateEndpoints adds the names in an update that are endpoints.
func (t *nameTable) addUpdateEndpoints(update *gossip.Update) {
	t.addEndpoint(string(update.Node))
	for i := range update.Loads {
		t.addEndpoint(update.Loads[i].Address)
	}
	for i := range update.Dispatches {
		t.addEndpoint(update.Dispatches[i].Address)
	}
	for i := range update.Reports {
		t.addEndpoint(update.Reports[i].Address)
	}
	for i := range update.GoneInstances {
		t.addEndpoint(update.GoneInstances[i].Address)
	}
	for i := range update.Outcomes {
		t.addEndpoint(update.Outcomes[i].Address)
	}
}

// addEndpoint adds a name as an endpoint if endpointOf can encode it.
func (t *nameTable) addEndpoint(name string) {
	if _, found := t.indexes[name]; found {
		return
	}
	endpoint, fits := endpointOf(name)
	if !fits {
		return
	}
	t.indexes[name] = uint32(len(t.endpoints))
	t.endpoints = append(t.endpoints, endpoint)
}

// index returns the index of a name.
func (t *nameTable) index(name string) uint32 {
	if existing, found := t.indexes[name]; found {
		return existing
	}
	return uint32(len(t.endpoints)) + t.texts.index(name)
}

const portBits = 16

// endpointOf encodes a name, an IPv4 address with a port, as an endpoint. The result fits
// is false unless endpointName returns the same name for the endpoint.
func endpointOf(name string) (endpoint uint64, fits bool) {
	parsed, err := netip.ParseAddrPort(name)
	if err != nil || !parsed.Addr().Is4() || parsed.String() != name {
		return 0, false
	}
	host := parsed.Addr().As4()
	for _, part := range host {
		endpoint = endpoint<<8 | uint64(part)
	}
	return endpoint<<portBits | uint64(parsed.Port()), true
}

// maxEndpointNames bounds the number of cached names. A full cache is cleared before a name
// is added.
const maxEndpointNames = 16384

// endpointNames caches the names of endpoints that were received, so that decoding the
// updates of many nodes does not allocate them each time.
var endpointNames = struct {
	sync.RWMutex
	names map[uint64]string
}{names: map[uint64]string{}}

// endpointName is the inverse of endpointOf. It takes the name from the cache, or adds it.
func endpointName(endpoint uint64) string {
	endpointNames.RLock()
	name, known := endpointNames.names[endpoint]
	endpointNames.RUnlock()
	if known {
		return name
	}
	host := endpoint >> portBits
	address := netip.AddrFrom4([4]byte{byte(host >> 24), byte(host >> 16), byte(host >> 8), byte(host)})
	name = netip.AddrPortFrom(address, uint16(endpoint)).String()
	endpointNames.Lock()
	defer endpointNames.Unlock()
	if len(endpointNames.names) >= maxEndpointNames {
		clear(endpointNames.names)
	}
	endpointNames.names[endpoint] = name
	return name
}

// receivedNames contains the names of a received message by index.
type receivedNames []string

// at returns the name with an index, or "" if the message has no such index.
func (n receivedNames) at(index uint32) string {
	if int64(index) >= int64(len(n)) {
		return ""
	}
	return n[index]
}

// names reads the names of a Traffic message: its endpoints, followed by its texts.
func (r *reader) names(table *fb.Traffic) receivedNames {
	endpoints := r.vectorLength(table.EndpointsLength(), endpointBytes)
	texts := r.vectorLength(table.TextsLength(), minStringBytes)
	names := make(receivedNames, 0, endpoints+texts)
	for i := range endpoints {
		names = append(names, endpointName(table.Endpoints(i)))
	}
	for i := range texts {
		names = append(names, r.text(table.Texts(i)))
	}
	return names
}

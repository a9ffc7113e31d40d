package proxybench

import (
	"io"
	"net/http"
	"sync/atomic"
)

// forwarder is what the node is compared with: the least that forwards HTTP by
// net/http. It gives none of the guarantees of a node.
type forwarder struct {
	addresses []string
	turn      atomic.Uint64
	transport *http.Transport
}

// newForwarder returns a forwarder to replicas in turn.
func newForwarder(addresses []string, connections int) *forwarder {
	return &forwarder{
		addresses: addresses,
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: connections},
	}
}

// ServeHTTP implements http.Handler.
func (f *forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	address := f.addresses[f.turn.Add(1)%uint64(len(f.addresses))]
	outgoing, err := http.NewRequestWithContext(request.Context(), request.Method, "http://"+address+request.URL.RequestURI(), request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	outgoing.Header = request.Header
	outgoing.ContentLength = request.ContentLength
	response, err := f.transport.RoundTrip(outgoing)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	header := writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	_, _ = io.Copy(writer, response.Body)
}

package proxybench

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// listenAddress binds a free port of this machine.
const listenAddress = "127.0.0.1:0"

// weightVersion is what all replicas run.
const weightVersion = "weights-1"

// endpoint is an HTTP server of the bench.
type endpoint struct {
	server  *http.Server
	address string
}

// serve starts a server on a free port.
func serve(handler http.Handler) (*endpoint, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "no port of this machine can be bound")
	}
	started := &endpoint{server: &http.Server{Handler: handler}, address: listener.Addr().String()}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

// close ends the server and its connections.
func (e *endpoint) close() {
	_ = e.server.Close()
}

// newReplica starts a replica that answers every request at once and reports
// no events.
func newReplica(bodyBytes int) (*endpoint, error) {
	body := bytes.Repeat([]byte("t"), bodyBytes)
	routes := http.NewServeMux()
	routes.HandleFunc(replica.PathGenerate, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		header := writer.Header()
		header.Set(replica.HeaderAttemptID, request.Header.Get(replica.HeaderAttemptID))
		header.Set(replica.HeaderWeightVersion, weightVersion)
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body)
	})
	routes.HandleFunc(replica.PathEvents, func(writer http.ResponseWriter, request *http.Request) {
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	})
	return serve(routes)
}

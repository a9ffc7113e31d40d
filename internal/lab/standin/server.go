package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxBodyBytes is the maximum number of bytes that a stand-in reads from a
// request body; DrainBody reads one more to detect a longer body.
const maxBodyBytes = 16 << 20

// shutdownTime is how long a stand-in waits for open responses on shutdown.
const shutdownTime = time.Second

// Problem is the body of an error response.
type Problem struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// Serve serves HTTP on an address until the context ends.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "standin: listen on %s", address)
	}
	return ServeListener(ctx, listener, handler)
}

// ServeListener serves HTTP on a listener until the context ends.
func ServeListener(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		if err := server.Shutdown(grace); err != nil {
			_ = server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "standin: serve")
	}
	<-stopped
	return nil
}

// WriteJSON writes a response with one JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteLines writes a response with one JSON value per line.
func WriteLines[T any](w http.ResponseWriter, values []T) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, value := range values {
		if encoder.Encode(value) != nil {
			return
		}
	}
}

// ReadJSON decodes a request body and rejects unknown fields. If decoding fails,
// it writes a Problem as the response and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Kind: "bad_body", Message: err.Error() + "; send one JSON object of the documented shape"})
		return false
	}
	return true
}

// DrainBody reads and discards a request body. net/http detects that the client
// has disconnected only after the body was read to its end.
func DrainBody(r *http.Request) error {
	read, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return errors.Wrap(err, "standin: read body")
	}
	if read > maxBodyBytes {
		return errors.Errorf("standin: body is longer than %d bytes; send less", maxBodyBytes)
	}
	return nil
}

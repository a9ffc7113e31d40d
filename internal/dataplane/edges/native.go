package edges

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/webservice"
)

// WithDefaults returns the set with the native protocols in place of those that are nil,
// except Reports. The native protocols send through sender and buffer responses of at most
// maxResponseBytes.
func (s Set) WithDefaults(sender *outbound.Client, maxResponseBytes int64) Set {
	if s.Callers == nil {
		s.Callers = nativeCaller{}
	}
	if s.Replicas == nil {
		s.Replicas = &nativeReplica{client: replica.NewClient(sender, maxResponseBytes)}
	}
	if s.WebServices == nil {
		s.WebServices = &nativeWebService{client: webservice.NewClient(sender, maxResponseBytes)}
	}
	return s
}

// nativeCaller implements the native protocol with callers.
type nativeCaller struct{}

// RequestID implements CallerEdge.
func (nativeCaller) RequestID(header http.Header) string {
	return header.Get(caller.HeaderRequestID)
}

// KeyDigest implements CallerEdge.
func (nativeCaller) KeyDigest(header http.Header) (string, bool) { return caller.KeyDigest(header) }

// Describe implements CallerEdge.
func (nativeCaller) Describe(request *http.Request) (caller.Request, error) {
	return caller.Parse(request)
}

// WriteError implements CallerEdge.
func (nativeCaller) WriteError(writer http.ResponseWriter, callerError *caller.Error) {
	caller.WriteError(writer, callerError)
}

// CompleteHeader implements CallerEdge.
func (nativeCaller) CompleteHeader(header http.Header, requestID string) {
	header.Set(caller.HeaderRequestID, requestID)
}

// ErrorEvent implements CallerEdge.
func (nativeCaller) ErrorEvent(callerError *caller.Error) []byte {
	return caller.ErrorEvent(callerError)
}

// nativeReplica implements the native protocol with replicas.
type nativeReplica struct {
	client *replica.Client
}

// Send implements BackendEdge. For a response with status 500 or above, which does not tell
// whether the request has run, it returns an *outbound.FailedResponseError.
func (r *nativeReplica) Send(ctx context.Context, attempt Attempt) (Response, error) {
	received, err := r.client.Generate(ctx, replicaCall(attempt))
	if err != nil {
		return nil, err
	}
	if received.Status() >= http.StatusInternalServerError {
		received.Close()
		return nil, &outbound.FailedResponseError{Status: received.Status()}
	}
	return received, nil
}

// replicaCall converts an attempt to a call of the native protocol.
func replicaCall(attempt Attempt) replica.Call {
	call := replica.Call{
		CallerRequest: attempt.Request,
		Address:       attempt.Address,
		Model:         attempt.Generation.Model,
		CacheSalt:     attempt.Generation.CacheSalt,
		Prefix:        caller.FormatPrefix(attempt.Generation.Chunks),
		RequestID:     attempt.RequestID,
		AttemptID:     attempt.AttemptID,
		Attempt:       attempt.Number,
		OutputTokens:  attempt.Generation.OutputTokens,
		Idempotent:    attempt.Idempotent,
		Streamed:      attempt.Streamed,
		Extra:         caller.PassThrough(attempt.Request.Header),
		ContentType:   attempt.Request.Header.Get("Content-Type"),
		Body:          attempt.Body,
	}
	if pull := attempt.Generation.Pull; pull != nil {
		call.Pull = &replica.Pull{Source: pull.Source, FirstChunk: pull.FirstChunk, LastChunk: pull.LastChunk}
	}
	return call
}

// nativeWebService implements the native protocol with web services.
type nativeWebService struct {
	client *webservice.Client
}

// Send implements BackendEdge.
func (w *nativeWebService) Send(ctx context.Context, attempt Attempt) (Response, error) {
	received, err := w.client.Forward(ctx, webservice.Call{
		Address:   attempt.Address,
		Request:   attempt.Request,
		Body:      attempt.Body,
		RequestID: attempt.RequestID,
		AttemptID: attempt.AttemptID,
	})
	if err != nil {
		return nil, err
	}
	return received, nil
}

package dataplane

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/webservice"
)

// withDefaults fills in the native protocols.
func (e Edges) withDefaults(sender *outbound.Client, maxResponseBytes int64) Edges {
	if e.Callers == nil {
		e.Callers = nativeCallerEdge{}
	}
	if e.Replicas == nil {
		e.Replicas = &nativeReplicaEdge{client: replica.NewClient(sender, maxResponseBytes)}
	}
	if e.WebServices == nil {
		e.WebServices = &nativeWebServiceEdge{client: webservice.NewClient(sender, maxResponseBytes)}
	}
	return e
}

// nativeCallerEdge implements the native protocol with callers.
type nativeCallerEdge struct{}

// RequestID implements CallerEdge.
func (nativeCallerEdge) RequestID(header http.Header) string {
	return header.Get(caller.HeaderRequestID)
}

// KeyDigest implements CallerEdge.
func (nativeCallerEdge) KeyDigest(header http.Header) (string, bool) { return caller.KeyDigest(header) }

// Describe implements CallerEdge.
func (nativeCallerEdge) Describe(request *http.Request) (caller.Request, error) {
	return caller.Parse(request)
}

// WriteError implements CallerEdge.
func (nativeCallerEdge) WriteError(writer http.ResponseWriter, callerError *caller.Error) {
	caller.WriteError(writer, callerError)
}

// CompleteHeader implements CallerEdge.
func (nativeCallerEdge) CompleteHeader(header http.Header, requestID string) {
	header.Set(caller.HeaderRequestID, requestID)
}

// ErrorEvent implements CallerEdge.
func (nativeCallerEdge) ErrorEvent(callerError *caller.Error) []byte {
	return caller.ErrorEvent(callerError)
}

// nativeReplicaEdge implements the native protocol with replicas.
type nativeReplicaEdge struct {
	client *replica.Client
}

// Send implements BackendEdge. A response that leaves open whether the request has run is
// an *outbound.FailedResponseError.
func (r *nativeReplicaEdge) Send(ctx context.Context, attempt Attempt) (Response, error) {
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

// replicaCall describes an attempt in the native protocol.
func replicaCall(attempt Attempt) replica.Call {
	call := replica.Call{
		Address:      attempt.Address,
		Model:        attempt.Generation.Model,
		CacheSalt:    attempt.Generation.CacheSalt,
		Prefix:       caller.FormatPrefix(attempt.Generation.Chunks),
		RequestID:    attempt.RequestID,
		AttemptID:    attempt.AttemptID,
		Attempt:      attempt.Number,
		OutputTokens: attempt.Generation.OutputTokens,
		Idempotent:   attempt.Idempotent,
		Streamed:     attempt.Streamed,
		Extra:        caller.PassThrough(attempt.Request.Header),
		ContentType:  attempt.Request.Header.Get("Content-Type"),
		Body:         attempt.Body,
	}
	if pull := attempt.Generation.Pull; pull != nil {
		call.Pull = &replica.Pull{Source: pull.Source, FirstChunk: pull.FirstChunk, LastChunk: pull.LastChunk}
	}
	return call
}

// nativeWebServiceEdge implements the native protocol with web services.
type nativeWebServiceEdge struct {
	client *webservice.Client
}

// Send implements BackendEdge.
func (w *nativeWebServiceEdge) Send(ctx context.Context, attempt Attempt) (Response, error) {
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

package dataplane

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/webservice"
)

// withDefaults fills in the node's own protocols.
func (e Edges) withDefaults(sender *outbound.Client, maxAnswerBytes int64) Edges {
	if e.Callers == nil {
		e.Callers = ownCallers{}
	}
	if e.Replicas == nil {
		e.Replicas = &ownReplicas{client: replica.NewClient(sender, maxAnswerBytes)}
	}
	if e.WebServices == nil {
		e.WebServices = &ownWebServices{client: webservice.NewClient(sender, maxAnswerBytes)}
	}
	return e
}

// ownCallers speaks the node's own protocol with callers.
type ownCallers struct{}

// RequestID implements CallerEdge.
func (ownCallers) RequestID(header http.Header) string { return header.Get(caller.HeaderRequestID) }

// KeyDigest implements CallerEdge.
func (ownCallers) KeyDigest(header http.Header) (string, bool) { return caller.KeyDigest(header) }

// Describe implements CallerEdge.
func (ownCallers) Describe(request *http.Request) (caller.Request, error) {
	return caller.Parse(request)
}

// WriteProblem implements CallerEdge.
func (ownCallers) WriteProblem(writer http.ResponseWriter, problem *caller.Problem) {
	caller.WriteProblem(writer, problem)
}

// CompleteHeader implements CallerEdge.
func (ownCallers) CompleteHeader(header http.Header, requestID string) {
	header.Set(caller.HeaderRequestID, requestID)
}

// StreamProblem implements CallerEdge.
func (ownCallers) StreamProblem(problem *caller.Problem) []byte {
	return caller.StreamProblem(problem)
}

// ownReplicas speaks the node's own protocol with replicas.
type ownReplicas struct {
	client *replica.Client
}

// Send implements BackendEdge. An answer that leaves open whether the request
// has run is an *outbound.FailedAnswerError.
func (r *ownReplicas) Send(ctx context.Context, attempt Attempt) (Answer, error) {
	received, err := r.client.Generate(ctx, replicaCall(attempt))
	if err != nil {
		return nil, err
	}
	if received.Status() >= http.StatusInternalServerError {
		received.Close()
		return nil, &outbound.FailedAnswerError{Status: received.Status()}
	}
	return received, nil
}

// replicaCall describes an attempt in the node's own protocol.
func replicaCall(attempt Attempt) replica.Call {
	call := replica.Call{
		Address:      attempt.Address,
		Model:        attempt.Generation.Model,
		CacheSalt:    attempt.Generation.CacheSalt,
		Prefix:       caller.FormatPrefix(attempt.Generation.Parts),
		RequestID:    attempt.RequestID,
		AttemptID:    attempt.AttemptID,
		Attempt:      attempt.Number,
		OutputTokens: attempt.Generation.OutputTokens,
		Repeatable:   attempt.Repeatable,
		Streamed:     attempt.Streamed,
		Extra:        caller.PassThrough(attempt.Request.Header),
		ContentType:  attempt.Request.Header.Get("Content-Type"),
		Body:         attempt.Body,
	}
	if pull := attempt.Generation.Pull; pull != nil {
		call.Pull = &replica.Pull{Source: pull.Source, FirstPart: pull.FirstPart, LastPart: pull.LastPart}
	}
	return call
}

// ownWebServices speaks the node's own protocol with web services.
type ownWebServices struct {
	client *webservice.Client
}

// Send implements BackendEdge.
func (w *ownWebServices) Send(ctx context.Context, attempt Attempt) (Answer, error) {
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

package workload

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Kind names the purpose of a request.
type Kind string

// The kinds of requests.
const (
	KindCaseSummary   Kind = "case_summary"
	KindTagging       Kind = "tagging"
	KindHearingNotice Kind = "hearing_notice"
	KindCalendarFetch Kind = "calendar_fetch"

	KindTermGrid     Kind = "term_grid"
	KindTeacherAudit Kind = "teacher_audit"
	KindRoomClash    Kind = "room_clash"
	KindBatchDraft   Kind = "batch_draft"
	KindPortalExport Kind = "portal_export"
)

// Request is one request of a stream.
type Request struct {
	// At is the time to send the request, counted from the start of the stream.
	At time.Duration
	// ID is unique in the stream.
	ID   string
	Kind Kind
	// Tenant is empty for a public caller.
	Tenant string
	// Web is set if the request fetches Path from the web service; such a request has
	// no prompt.
	Web  bool
	Path string

	Chunks       []prefixindex.Chunk
	OutputTokens uint32
	Streamed     bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Deadline is the longest time that the caller waits for the response.
	Deadline time.Duration
}

// PromptTokens returns the length of the prompt, in tokens.
func (r Request) PromptTokens() uint64 {
	var tokens uint64
	for _, chunk := range r.Chunks {
		tokens += uint64(chunk.Tokens)
	}
	return tokens
}

// Tenant is a tenant of a mix.
type Tenant struct {
	Name string
	// Fraction is the probability with which the tenant is drawn; the fractions of a mix
	// sum to 1.
	Fraction float64
	// Walled tenants share no cached chunks with others.
	Walled bool
}

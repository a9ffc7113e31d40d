package workload

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Kind names what a request is for.
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
	// At is when it is sent: the time since the start of the stream.
	At time.Duration
	// ID is unique in the stream.
	ID   string
	Kind Kind
	// Tenant is empty for the public.
	Tenant string
	// Web is set if the request is a fetch of Path from the web service, and has
	// no prompt.
	Web  bool
	Path string

	Chunks       []prefixindex.Chunk
	OutputTokens uint32
	Streamed     bool
	// Repeatable is set if the request may run twice.
	Repeatable bool
	// Deadline is the longest time that the caller waits.
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
	// Fraction is that of the model requests which the tenant makes; all make 1.
	Fraction float64
	// Walled tenants share no cached chunks with others.
	Walled bool
}

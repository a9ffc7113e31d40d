// Package headerlimiter refuses headers beyond the configured bound. The listener's own
// bound is that of the largest one, and cannot change while it serves.
package headerlimiter

import (
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// fieldOverhead is the size of a header field beside its name and value: a colon, a space
// and the line end.
const fieldOverhead = 4

// Handler bounds the headers of requests.
type Handler struct{}

// New returns the handler.
func New() *Handler { return &Handler{} }

// Handle implements exchange.Handler.
func (*Handler) Handle(e *exchange.Exchange, next func()) {
	limit := uint64(e.View.Configuration.GetCallerLimits().GetMaxHeaderBytes())
	if limit > 0 && headerBytes(e.Request.Header) > limit {
		e.Refuse(caller.NewError(caller.KindHeaderTooLarge, "the header is larger than %d bytes: send less", limit))
		return
	}
	next()
}

// headerBytes returns the size of the fields of a header as they are sent, without the
// request line and the host.
func headerBytes(header http.Header) uint64 {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return uint64(size)
}

// Package headerlimiter refuses requests whose headers exceed the configured limit. The listener
// stops reading a header that is far above it, but does not know where a header ends.
package headerlimiter

import (
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// fieldOverhead is the size of a header field in addition to its name and value: a colon, a
// space and the line end (CR LF).
const fieldOverhead = 4

// Handler limits the size of request headers.
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

// headerBytes returns the size of a header's fields as sent in HTTP/1.1. The request line and
// the Host field are not counted.
func headerBytes(header http.Header) uint64 {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return uint64(size)
}

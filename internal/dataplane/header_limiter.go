package dataplane

import (
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// fieldOverhead is what a field of a header has beside its name and value: a colon,
// a space and the end of the line.
const fieldOverhead = 4

// headerLimiter refuses headers beyond the bound of the configuration. The listener's
// own bound is that of the largest one, and cannot change while it serves.
type headerLimiter struct{}

// handle implements handler.
func (headerLimiter) handle(e *exchange, next func()) {
	limit := uint64(e.view.Configuration.GetCallerLimits().GetMaxHeaderBytes())
	if limit > 0 && headerBytes(e.request.Header) > limit {
		e.refuse(caller.NewError(caller.KindHeaderTooLarge, "the header is larger than %d bytes: send less", limit))
		return
	}
	next()
}

// headerBytes is the size of the fields of a header as they are sent. The first line
// and the host do not count.
func headerBytes(header http.Header) uint64 {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return uint64(size)
}

package dataplane

import (
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// fieldOverhead is what a field of a header has beside its name and value: a colon,
// a space and the end of the line.
const fieldOverhead = 4

// headerBound refuses headers beyond the bound of the configuration. The listener's
// own bound is that of the largest one, and cannot change while it serves.
type headerBound struct{}

// handle implements handler.
func (headerBound) handle(e *exchange, next func()) {
	bound := uint64(e.view.Configuration.GetCallerLimits().GetMaxHeaderBytes())
	if bound > 0 && headerBytes(e.request.Header) > bound {
		e.refuse(caller.NewProblem(caller.KindHeaderTooLarge, "the header is larger than %d bytes: send less", bound))
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

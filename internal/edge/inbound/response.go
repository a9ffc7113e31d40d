package inbound

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// responseDivisor is the part of the budget's bytes that buffered responses may take, so that
	// clients which do not read leave room for the requests of others.
	responseDivisor = 4
	// responseGrowthFactor is how much larger the next buffer of a response is whose length is not
	// declared.
	responseGrowthFactor = 2
)

// ReadResponse reads the body of a back end's response to a client's request, and charges the
// budget for it until the request has ended. The declared length is negative if it is not known. It
// returns false with the beginning of the body if that is longer than limit bytes, or if the budget
// has no room for it: the caller then relays the rest as it arrives, no faster than the client takes
// it. An error is that of the body, of which nothing stays charged then.
func ReadResponse(request *http.Request, body io.Reader, declared, limit int64) ([]byte, bool, error) {
	if request != nil && request.Method == http.MethodHead {
		// The declared length is that of the response to another method.
		declared = 0
	}
	reader := &responseReader{connection: connectionOf(request), body: body, declared: declared, limit: limit}
	complete, err := reader.readAll()
	if err != nil {
		reader.release()
		return nil, false, err
	}
	return reader.buffer, complete, nil
}

// ReserveResponse charges the budget for bytes of a response that are held until the request has
// ended. It returns false if there is no room.
func ReserveResponse(request *http.Request, bytes int64) bool {
	connection := connectionOf(request)
	return connection == nil || connection.reserveResponse(bytes)
}

// responseReader reads the body of one response.
type responseReader struct {
	// connection is nil if nothing is charged.
	connection *Connection
	body       io.Reader
	declared   int64
	limit      int64
	buffer     []byte
	// charged is what the budget was charged for.
	charged int64
}

// readAll reads until the end of the body, or until there is no room for more of it. It returns
// true at the end of a body within the limit.
func (r *responseReader) readAll() (bool, error) {
	if r.declared > r.limit || r.declared >= 0 && !r.reserve(r.declared+1) {
		return false, nil
	}
	for int64(len(r.buffer)) <= r.limit {
		if len(r.buffer) == cap(r.buffer) && !r.grow() {
			return false, nil
		}
		count, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+count]
		if errors.Is(err, io.EOF) {
			return int64(len(r.buffer)) <= r.limit, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// grow replaces the buffer by a larger one. It returns false if there is no room for it. The last
// buffer has a byte more than the body can have, so that its end can be read. That of a declared
// length is the first one, and was reserved before.
func (r *responseReader) grow() bool {
	size := r.declared + 1
	if r.declared < 0 {
		size = max(int64(cap(r.buffer))*responseGrowthFactor, firstBufferBytes)
		if size > r.limit/2 {
			size = r.limit + 1
		}
		if !r.reserve(size) {
			return false
		}
	}
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = grown
	return true
}

// reserve raises what is charged to a number of bytes. It returns false if there is no room.
func (r *responseReader) reserve(bytes int64) bool {
	if r.connection != nil && !r.connection.reserveResponse(bytes-r.charged) {
		return false
	}
	r.charged = bytes
	return true
}

// release gives back what was charged.
func (r *responseReader) release() {
	if r.connection != nil {
		r.connection.releaseResponse(r.charged)
	}
}

// reserveResponse charges for bytes of a response. It evicts no request, since a response that
// finds no room can be relayed as it arrives.
func (c *Connection) reserveResponse(bytes int64) bool {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	if c.evicted || c.phase == phaseClosed {
		return false
	}
	if c.budget.held+bytes > c.budget.allowed(c.held+bytes) || c.budget.responses+bytes > c.budget.limits.Bytes/responseDivisor {
		return false
	}
	c.budget.held += bytes
	c.budget.responses += bytes
	c.held += bytes
	c.response += bytes
	return true
}

// releaseResponse gives back a part of what was charged for a response.
func (c *Connection) releaseResponse(bytes int64) {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	// Less is charged if the connection was closed meanwhile.
	bytes = min(bytes, c.response)
	c.response -= bytes
	c.budget.responses -= bytes
	c.budget.giveBack(c, bytes)
}

// BeginRelay notes that a response is relayed as it arrives, so that its back end waits for the
// client, until the request has ended.
func BeginRelay(request *http.Request) {
	if connection := connectionOf(request); connection != nil {
		connection.relaying.Store(true)
	}
}

// CloseStalledRelay closes the connection whose client has left a relayed response unread for
// longest, if that is longer than stalledRelayAfter. It serves requests for which a back end has no
// connection left. It is given one of these requests.
func CloseStalledRelay(request *http.Request) {
	if connection := connectionOf(request); connection != nil {
		connection.listener.closeStalledRelay()
	}
}

// closeStalledRelay closes one connection of the port.
func (l *Listener) closeStalledRelay() {
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.closeStalled(stalledRelayAfter, func(candidate *Connection) bool { return candidate.relaying.Load() })
}

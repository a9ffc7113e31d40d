package inbound

import (
	"fmt"
	"net/http"
)

// TooLargeError refuses a request that takes more than all requests together may hold, so that it
// is refused at any time. The request has not run.
type TooLargeError struct {
	// Bytes is about what the request takes, and MaxBytes what there is room for.
	Bytes, MaxBytes int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the request takes about %d bytes once it is read, and the machine has room for %d: reduce it, or give the node more memory", e.Bytes, e.MaxBytes)
}

// Parse runs parse, which builds what takes up to the given number of bytes of a request's content,
// and charges the budget for them until the request has ended. The content of one request of a
// process is parsed at a time, so that what is needed only for that exists once. The error is a
// *TooLargeError or ErrOverloaded if there is no room, and otherwise that of parse. For a request
// whose server has no Listener it only runs parse.
func Parse(request *http.Request, bytes int64, parse func() error) error {
	connection := connectionOf(request)
	if connection == nil {
		return parse()
	}
	if err := connection.checkRoom(bytes); err != nil {
		return err
	}
	select {
	case connection.budget.parsing <- struct{}{}:
	case <-request.Context().Done():
		return ErrOverloaded
	}
	defer func() { <-connection.budget.parsing }()
	if err := connection.budget.charge(connection, bytes); err != nil {
		return err
	}
	return parse()
}

// Charge charges the budget for bytes that a request holds until it has ended. The errors are those
// of Parse.
func Charge(request *http.Request, bytes int64) error {
	return Parse(request, bytes, func() error { return nil })
}

// checkRoom returns a *TooLargeError if the budget would have no room for further bytes of the
// request even if no other request held any.
func (c *Connection) checkRoom(bytes int64) error {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	total := c.held + bytes
	if room := c.budget.allowed(total); total > room {
		return &TooLargeError{Bytes: total, MaxBytes: room}
	}
	return nil
}

package inbound

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// firstBufferBytes is the size of the first buffer of a body, and growthFactor how much
	// larger the next one is. What a client announces is allocated only as it arrives.
	firstBufferBytes = 16 << 10
	growthFactor     = 4
	// headDivisor is the part of the budget that the largest body leaves to its head, up to
	// smallHolderBytes.
	headDivisor = 16
	// bulkReadBytes is the most that is read of a body at a time.
	bulkReadBytes = 16 << 10
)

// ReadBody reads a request's body of at most limit bytes, and charges the budget for it until the
// request has ended. The error is an *http.MaxBytesError if the body is larger, and ErrOverloaded
// if the budget has no room for it or took it back; then the connection is closed after the
// response, and the budget is given back what the request holds. A request whose server has no
// Listener is not charged.
//
// Of the bodies that are longer than smallHolderBytes one is processed at a time, so that many of
// them cannot keep the processor from small requests.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	connection := connectionOf(request)
	if connection != nil {
		limit = min(limit, connection.budget.largestBody())
	}
	if request.ContentLength > limit {
		writer.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := &bodyReader{
		connection: connection,
		source:     http.MaxBytesReader(writer, request.Body, limit),
		largest:    limit,
	}
	if request.ContentLength >= 0 {
		reader.largest = request.ContentLength
	}
	body, err := reader.readAll()
	if errors.Is(err, ErrOverloaded) {
		writer.Header().Set("Connection", "close")
	}
	return body, err
}

// largestBody returns the size of the largest body that the budget has room for, beside its head and
// the buffer that it is copied from.
func (b *Budget) largestBody() int64 {
	room := b.allowed(b.limits.Bytes)
	head := min(smallHolderBytes, room/headDivisor)
	return (room - head) / (growthFactor + 1) * growthFactor
}

// bodyReader reads one body.
type bodyReader struct {
	// connection is nil if nothing is charged.
	connection *Connection
	source     io.Reader
	// largest is the most that the body can have.
	largest int64
	buffer  []byte
}

func (r *bodyReader) readAll() ([]byte, error) {
	if r.connection != nil {
		r.connection.beginBody()
	}
	err := r.read()
	if r.connection != nil {
		err = r.connection.endBody(err)
	}
	if err != nil {
		return nil, err
	}
	return r.buffer, nil
}

// read reads to the end of the body.
func (r *bodyReader) read() error {
	for {
		if len(r.buffer) == cap(r.buffer) {
			if err := r.grow(); err != nil {
				return err
			}
		}
		count, err := r.readSome(r.buffer[len(r.buffer):min(cap(r.buffer), len(r.buffer)+bulkReadBytes)])
		r.buffer = r.buffer[:len(r.buffer)+count]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readSome reads once. Beyond smallHolderBytes only one goroutine at a time gets on with that,
// except while it waits for its client.
func (r *bodyReader) readSome(target []byte) (int, error) {
	if r.connection == nil || len(r.buffer) < smallHolderBytes {
		return r.source.Read(target)
	}
	r.connection.enterBulk()
	defer r.connection.leaveBulk()
	return r.source.Read(target)
}

// nextSize returns the size of the next buffer. The last one has a byte more than the body can have,
// so that its end can be read, and is copied from one of at most a growthFactor-th of it.
func (r *bodyReader) nextSize() int64 {
	size := max(int64(cap(r.buffer))*growthFactor, firstBufferBytes)
	lastButOne := r.largest / growthFactor
	switch {
	case size <= lastButOne:
		return size
	case int64(cap(r.buffer)) < lastButOne && size < r.largest:
		return lastButOne
	default:
		return r.largest + 1
	}
}

// grow replaces the buffer by a larger one. Both are charged while one is copied to the other.
func (r *bodyReader) grow() error {
	size := r.nextSize()
	if r.connection != nil {
		if err := r.connection.budget.charge(r.connection, size); err != nil {
			return err
		}
	}
	old := int64(cap(r.buffer))
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = grown
	if r.connection != nil {
		r.connection.giveBack(old)
	}
	return nil
}

func (c *Connection) giveBack(bytes int64) {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	c.budget.giveBack(c, bytes)
}

// enterBulk waits for the right to process a large body.
func (c *Connection) enterBulk() {
	c.budget.bulk <- struct{}{}
	c.inBulk.Store(true)
}

// leaveBulk gives up the right to process a large body, and reports whether the connection had it.
func (c *Connection) leaveBulk() bool {
	had := c.inBulk.CompareAndSwap(true, false)
	if had {
		<-c.budget.bulk
	}
	return had
}

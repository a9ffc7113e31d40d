package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// readBufferBytes is the buffer of each connection that another node opened, of
	// which there are as many as nodes. Most frames are smaller, and of larger ones
	// what the buffer lacks is read past it.
	readBufferBytes = 4 << 10
	// maxPreallocatedBytes bounds what is allocated for a frame before its bytes
	// arrive: its length alone is not trusted. Larger frames grow as they arrive.
	maxPreallocatedBytes = 64 << 10
	// acceptRetryDelay is the pause after a failed accept, as when the process is
	// out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

var errFrameLength = errors.New("transport: frame length out of bounds")

// accept runs until the listener is closed.
func (t *Transport) accept(ctx context.Context) {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		if !t.admit(connection) {
			_ = connection.Close()
			continue
		}
		t.running.Go(func() { t.receive(ctx, connection) })
	}
}

// admit registers a connection so that Close finds it. It returns false if the transport
// is closed or has MaxConnections already.
func (t *Transport) admit(connection net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed || len(t.inbound) >= t.options.MaxConnections {
		t.counters.connectionsRefused.Add(1)
		return false
	}
	t.counters.connectionsAccepted.Add(1)
	t.inbound[connection] = struct{}{}
	return true
}

// receive passes the frames of one connection to the handler until the connection ends.
func (t *Transport) receive(ctx context.Context, connection net.Conn) {
	defer t.release(connection)
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(t.options.keepAlive())
	}
	reader := bufio.NewReaderSize(connection, readBufferBytes)
	for {
		frame, err := t.readFrame(connection, reader)
		if err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				t.counters.badFrames.Add(1)
			}
			return
		}
		t.counters.framesReceived.Add(1)
		t.counters.bytesReceived.Add(uint64(lengthBytes + len(frame)))
		t.handler(frame)
	}
}

// release closes a connection and takes back its registration.
func (t *Transport) release(connection net.Conn) {
	_ = connection.Close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.inbound, connection)
}

// readFrame waits for as long as it takes for a frame to begin, and for
// FrameTimeout for the rest of it. It returns io.EOF when the sender closed
// the connection between frames.
func (t *Transport) readFrame(connection net.Conn, reader *bufio.Reader) ([]byte, error) {
	if _, err := reader.Peek(1); err != nil {
		// A peer that was killed or forgot this node may send a reset.
		return nil, io.EOF
	}
	if err := connection.SetReadDeadline(time.Now().Add(t.options.FrameTimeout)); err != nil {
		return nil, err
	}
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || length > MaxFrameBytes {
		return nil, errFrameLength
	}
	frame, err := readExactly(reader, int(length))
	if err != nil {
		return nil, err
	}
	return frame, connection.SetReadDeadline(time.Time{})
}

// readExactly reads length bytes. An end before that is io.ErrUnexpectedEOF.
func readExactly(reader io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocatedBytes {
		frame := make([]byte, length)
		if _, err := io.ReadFull(reader, frame); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		return frame, nil
	}
	var buffer bytes.Buffer
	buffer.Grow(maxPreallocatedBytes)
	if _, err := io.CopyN(&buffer, reader, int64(length)); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return buffer.Bytes(), nil
}

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
	// readBufferBytes is the size of the read buffer of each connection that another
	// node opened. It is small because there are as many such connections as nodes.
	// Most frames fit into it; the rest of a larger frame is read past the buffer.
	readBufferBytes = 4 << 10
	// maxPreallocatedBytes bounds the memory that is allocated for a frame before its
	// bytes arrive: the announced length is not trusted. The buffer of a larger frame
	// grows as the bytes arrive.
	maxPreallocatedBytes = 64 << 10
	// acceptRetryDelay is the pause after a failed accept, for example when the process
	// is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

var errFrameLength = errors.New("transport: frame length is 0 or exceeds MaxFrameBytes")

// accept accepts connections until the listener is closed.
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

// admit registers a connection so that Close can close it. It returns false if the
// transport is closed or already has MaxConnections connections that other nodes opened.
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

// release closes a connection and removes its registration.
func (t *Transport) release(connection net.Conn) {
	_ = connection.Close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.inbound, connection)
}

// readFrame waits without a time limit for the first byte of a frame, and at most
// FrameTimeout for the rest. It returns io.EOF if the connection ends between frames.
func (t *Transport) readFrame(connection net.Conn, reader *bufio.Reader) ([]byte, error) {
	if _, err := reader.Peek(1); err != nil {
		// Any error between frames counts as the end of the connection: a peer that was
		// killed, or that called Forget for this node, may send a reset.
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

// readExactly reads length bytes. It returns io.ErrUnexpectedEOF if a read fails before
// that.
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

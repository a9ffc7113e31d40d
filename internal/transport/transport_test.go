package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	firstHost  = "127.77.1.1"
	secondHost = "127.77.1.2"
	// testTimeout bounds how long a test waits for an expected event.
	testTimeout = 20 * time.Second
)

// node is a transport that sends the frames it receives to a channel.
type node struct {
	*Transport
	frames chan []byte
}

func startAt(address string, options Options) *node {
	started := &node{frames: make(chan []byte, 1000)}
	var err error
	started.Transport, err = Listen(address, func(frame []byte) { started.frames <- frame }, options)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(started.Close)
	return started
}

func start(host string, options Options) *node {
	return startAt(net.JoinHostPort(host, "0"), options)
}

func (n *node) next() []byte {
	select {
	case frame := <-n.frames:
		return frame
	case <-time.After(testTimeout):
		Fail("no frame was received within testTimeout")
		return nil
	}
}

// rawListener returns a TCP listener that stands for a peer without a Transport.
func rawListener() net.Listener {
	listener, err := net.Listen("tcp", net.JoinHostPort(secondHost, "0"))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	return listener
}

func acceptFrom(listener net.Listener) net.Conn {
	Expect(listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	connection, err := listener.Accept()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return connection
}

func dialRaw(address string) net.Conn {
	connection, err := net.Dial("tcp", address)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return connection
}

func prefixed(frame []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
}

// sendUntilAccepted sends a frame repeatedly until the peer has accepted a new connection
// and use has returned.
func sendUntilAccepted(sender *node, peer net.Listener, frame []byte, use func(net.Conn)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer GinkgoRecover()
		use(acceptFrom(peer))
	}()
	for {
		select {
		case <-done:
			return
		default:
			sender.Send(peer.Addr().String(), frame)
			runtime.Gosched()
		}
	}
}

// expectClosed blocks until the other side closes the connection.
func expectClosed(connection net.Conn) {
	_, err := connection.Read(make([]byte, 1))
	ExpectWithOffset(1, err).To(HaveOccurred())
	ExpectWithOffset(1, isTimeout(err)).To(BeFalse())
}

var _ = Describe("A connection on which nothing is sent", func() {
	It("is closed, and opened again for the next frame", func() {
		second := start(secondHost, Options{})
		first := start(firstHost, Options{IdleTimeout: 20 * time.Millisecond})
		for number := range 3 {
			first.Send(second.Address(), []byte{byte(number)})
			Expect(second.next()).To(Equal([]byte{byte(number)}))
			Eventually(func() uint64 { return first.Stats().ConnectionsRetired }, testTimeout).Should(BeEquivalentTo(number + 1))
			Expect(first.Stats().Peers).To(BeZero())
		}
		Expect(first.Stats().ConnectionsOpened).To(BeEquivalentTo(3))
	})

	It("stays open while frames are sent", func() {
		const idle = 500 * time.Millisecond
		second := start(secondHost, Options{})
		first := start(firstHost, Options{IdleTimeout: idle})
		for began := time.Now(); time.Since(began) < 2*idle; {
			first.Send(second.Address(), []byte("news"))
			Expect(second.next()).To(Equal([]byte("news")))
		}
		Expect(first.Stats().ConnectionsOpened).To(BeEquivalentTo(1))
	})

	It("loses no frame that is sent while it is being closed", func() {
		const frames = 2000
		second := start(secondHost, Options{})
		first := start(firstHost, Options{IdleTimeout: time.Nanosecond, MinBackoff: time.Nanosecond})
		for number := range frames {
			first.Send(second.Address(), []byte(fmt.Sprint(number)))
			Expect(second.next()).To(Equal([]byte(fmt.Sprint(number))))
		}
		Expect(first.Stats().DroppedUnsent + first.Stats().DroppedClosed).To(BeZero())
	})
})

var _ = Describe("A transport", func() {
	It("delivers the frames for a peer in order, from the host it listens on", func() {
		sender, peer := start(firstHost, Options{}), rawListener()
		var want []byte
		for i := range 500 {
			frame := fmt.Appendf(nil, "frame %d", i)
			want = append(want, prefixed(frame)...)
			sender.Send(peer.Addr().String(), frame)
		}
		connection := acceptFrom(peer)
		Expect(connection.RemoteAddr().(*net.TCPAddr).IP.String()).To(Equal(firstHost))
		got := make([]byte, len(want))
		_, err := io.ReadFull(connection, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	})

	It("delivers frames to another transport and to itself", func() {
		first, second := start(firstHost, Options{}), start(secondHost, Options{})
		first.Send(second.Address(), []byte("there"))
		Expect(second.next()).To(Equal([]byte("there")))
		second.Send(first.Address(), []byte("and back"))
		Expect(first.next()).To(Equal([]byte("and back")))
		first.Send(first.Address(), []byte("here"))
		Expect(first.next()).To(Equal([]byte("here")))
		Expect(second.Stats().FramesReceived).To(Equal(uint64(1)))
		Expect(first.Stats().FramesReceived).To(Equal(uint64(2)))
	})

	It("delivers the largest frame, and drops and counts larger and empty ones", func() {
		first, second := start(firstHost, Options{}), start(secondHost, Options{})
		first.Send(second.Address(), make([]byte, MaxFrameBytes+1))
		first.Send(second.Address(), nil)
		largest := bytes.Repeat([]byte("0123456789abcdef"), MaxFrameBytes/16)
		first.Send(second.Address(), largest)
		Expect(bytes.Equal(second.next(), largest)).To(BeTrue())
		Expect(first.Stats().DroppedSize).To(Equal(uint64(2)))
	})

	It("keeps frames for a peer that is down until the peer listens", func() {
		held := rawListener()
		address := held.Addr().String()
		Expect(held.Close()).To(Succeed())
		sender := start(firstHost, Options{MinBackoff: time.Millisecond, MaxBackoff: 4 * time.Millisecond})
		sender.Send(address, []byte("early"))
		for sender.Stats().ConnectFailures < 3 {
			runtime.Gosched()
		}
		late := startAt(address, Options{})
		Expect(late.next()).To(Equal([]byte("early")))
	})

	It("connects again after a connection is lost", func() {
		sender, peer := start(firstHost, Options{MinBackoff: time.Millisecond}), rawListener()
		address := peer.Addr().String()
		sender.Send(address, []byte("first"))
		lost := acceptFrom(peer)
		_, err := io.ReadFull(lost, make([]byte, len(prefixed([]byte("first")))))
		Expect(err).NotTo(HaveOccurred())
		Expect(lost.Close()).To(Succeed())
		// A frame may be lost with the connection, so the frame is sent repeatedly, as the
		// protocols that use the transport do.
		sendUntilAccepted(sender, peer, []byte("again"), func(connection net.Conn) {
			got := make([]byte, len(prefixed([]byte("again"))))
			_, err := io.ReadFull(connection, got)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(prefixed([]byte("again"))))
		})
	})

	It("never blocks on a frozen peer, queues a bounded number of bytes for it, and closes the connection to it", func() {
		const queuedBytes = 4 << 20
		options := Options{MaxQueuedBytes: queuedBytes, WriteTimeout: 50 * time.Millisecond, MinBackoff: time.Millisecond}
		sender, frozen := start(firstHost, options), rawListener()
		frame := make([]byte, 1<<20)
		sender.Send(frozen.Addr().String(), frame)
		acceptFrom(frozen)
		sendUntilAccepted(sender, frozen, frame, func(net.Conn) {})
		stats := sender.Stats()
		Expect(stats.QueuedBytes).To(BeNumerically("<=", queuedBytes))
		Expect(stats.DroppedFull).To(BeNumerically(">", 0))
		Expect(stats.DroppedUnsent).To(BeNumerically(">", 0))
	})

	It("closes the connection to a peer on Forget, and opens a new one for the next frame", func() {
		sender, peer := start(firstHost, Options{}), rawListener()
		address := peer.Addr().String()
		sender.Send(address, []byte("before"))
		first := acceptFrom(peer)
		_, err := io.ReadFull(first, make([]byte, len(prefixed([]byte("before")))))
		Expect(err).NotTo(HaveOccurred())
		sender.Forget(address)
		expectClosed(first)
		Expect(sender.Stats().Peers).To(Equal(0))
		sender.Send(address, []byte("after"))
		got := make([]byte, len(prefixed([]byte("after"))))
		_, err = io.ReadFull(acceptFrom(peer), got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(prefixed([]byte("after"))))
	})

	It("stops listening and closes all connections on Close, and counts the frames that it then drops", func() {
		held := rawListener()
		address := held.Addr().String()
		Expect(held.Close()).To(Succeed())
		sender := start(firstHost, Options{})
		sender.Send(address, []byte("queued"))
		inbound := dialRaw(sender.Address())
		sender.Close()
		expectClosed(inbound)
		Expect(sender.Stats().DroppedClosed).To(Equal(uint64(1)))
		sender.Send(address, []byte("late"))
		Expect(sender.Stats().DroppedClosed).To(Equal(uint64(2)))
		_, err := net.Dial("tcp", sender.Address())
		Expect(err).To(HaveOccurred())
	})

	It("returns an error with the remedy when it cannot listen", func() {
		taken := start(firstHost, Options{})
		_, err := Listen(taken.Address(), func([]byte) {}, Options{})
		Expect(err).To(MatchError(ContainSubstring("check that the address belongs to this machine and that its port is not in use")))
	})
})

var _ = Describe("A hostile or broken sender", func() {
	It("is disconnected when the length of a frame is out of bounds", func() {
		receiver := start(firstHost, Options{})
		for _, length := range []uint32{0, MaxFrameBytes + 1, 1<<32 - 1} {
			connection := dialRaw(receiver.Address())
			_, err := connection.Write(binary.BigEndian.AppendUint32(nil, length))
			Expect(err).NotTo(HaveOccurred())
			expectClosed(connection)
		}
		Expect(receiver.Stats().BadFrames).To(Equal(uint64(3)))
	})

	It("is disconnected when it stalls within a frame, and its earlier complete frames are delivered", func() {
		receiver := start(firstHost, Options{FrameTimeout: 20 * time.Millisecond})
		connection := dialRaw(receiver.Address())
		_, err := connection.Write(append(prefixed([]byte("whole")), 0, 0, 1, 0, 'h'))
		Expect(err).NotTo(HaveOccurred())
		expectClosed(connection)
		Expect(receiver.next()).To(Equal([]byte("whole")))
		Expect(receiver.Stats().BadFrames).To(Equal(uint64(1)))
	})

	It("causes no large allocation by announcing a large frame", func() {
		receiver := start(firstHost, Options{FrameTimeout: 20 * time.Millisecond})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const claims = 20
		for range claims {
			connection := dialRaw(receiver.Address())
			_, err := connection.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes))
			Expect(err).NotTo(HaveOccurred())
			expectClosed(connection)
		}
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", MaxFrameBytes))
	})

	It("cannot open more than MaxConnections connections", func() {
		receiver := start(firstHost, Options{MaxConnections: 1})
		first := dialRaw(receiver.Address())
		_, err := first.Write(prefixed([]byte("first")))
		Expect(err).NotTo(HaveOccurred())
		Expect(receiver.next()).To(Equal([]byte("first")))
		expectClosed(dialRaw(receiver.Address()))
		Expect(receiver.Stats().ConnectionsRefused).To(Equal(uint64(1)))
	})
})

var _ = Describe("A connection that another node opened", func() {
	It("has a read buffer of at most 4 KiB, and delivers frames larger than the buffer", func() {
		Expect(readBufferBytes).To(BeNumerically("<=", 4<<10))
		receiver := start(secondHost, Options{})
		sender := start(firstHost, Options{})
		frames := [][]byte{make([]byte, 3), make([]byte, readBufferBytes-1), make([]byte, 3*readBufferBytes), make([]byte, 7)}
		for number, frame := range frames {
			frame[0], frame[len(frame)-1] = byte(number+1), byte(number+11)
			sender.Send(receiver.Address(), frame)
		}
		for _, frame := range frames {
			Expect(receiver.next()).To(Equal(frame))
		}
	})
})

package links_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
)

// The IP addresses of the machines, and the time limit for reads and writes.
const (
	senderIP  = "127.77.1.1"
	targetIP  = "127.77.1.2"
	ioTimeout = 10 * time.Second
)

var (
	toTarget  = links.Link{From: netip.MustParseAddr(senderIP), To: netip.MustParseAddr(targetIP)}
	toSender  = links.Link{From: toTarget.To, To: toTarget.From}
	blocked   = links.LinkState{Blocked: true}
	unblocked = links.LinkState{}
)

// loss is one call of Network.OnLoss.
type loss struct {
	link  links.Link
	bytes int
}

// path is a sender, a forwarder at the target's address, and the target.
type path struct {
	network   *links.Network
	forwarder *links.Forwarder
	target    net.Listener
	losses    chan loss
}

func newPath() *path {
	made := &path{network: links.NewNetwork(), losses: make(chan loss, 16)}
	made.network.OnLoss = func(link links.Link, bytes int) { made.losses <- loss{link, bytes} }
	var err error
	made.target, err = net.Listen("tcp", targetIP+":0")
	Expect(err).NotTo(HaveOccurred())
	made.forwarder, err = made.network.Forward(context.Background(), targetIP+":0", made.target.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		made.forwarder.Close()
		Expect(made.target.Close()).To(Succeed())
	})
	return made
}

// connect returns both ends of a connection through the forwarder.
func (made *path) connect() (sender, target net.Conn) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(senderIP)}}
	sender, err := dialer.Dial("tcp", made.forwarder.Address())
	Expect(err).NotTo(HaveOccurred())
	target, err = made.target.Accept()
	Expect(err).NotTo(HaveOccurred())
	for _, end := range []net.Conn{sender, target} {
		Expect(end.SetDeadline(time.Now().Add(ioTimeout))).To(Succeed())
		DeferCleanup(func() { _ = end.Close() })
	}
	return sender, target
}

// attempt connects through the forwarder and returns the error of the dial, or else of
// the first read, since either can report that the target does not listen.
func (made *path) attempt() error {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(senderIP)}}
	sender, err := dialer.Dial("tcp", made.forwarder.Address())
	if err != nil {
		return err
	}
	DeferCleanup(sender.Close)
	Expect(sender.SetDeadline(time.Now().Add(ioTimeout))).To(Succeed())
	_, err = sender.Read(make([]byte, 1))
	return err
}

func write(to net.Conn, text string) {
	_, err := to.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
}

func read(from net.Conn, length int) string {
	buffer := make([]byte, length)
	_, err := io.ReadFull(from, buffer)
	Expect(err).NotTo(HaveOccurred())
	return string(buffer)
}

var _ = Describe("a link", func() {
	It("passes bytes both ways, from the sender's IP address", func() {
		sender, target := newPath().connect()
		Expect(target.RemoteAddr().(*net.TCPAddr).IP.String()).To(Equal(senderIP))
		write(sender, "question")
		Expect(read(target, 8)).To(Equal("question"))
		write(target, "answer")
		Expect(read(sender, 6)).To(Equal("answer"))
		Expect(sender.Close()).To(Succeed())
		_, err := target.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	DescribeTable("blocked in one direction loses only the bytes of that direction", func(lost links.Link, forward bool) {
		made := newPath()
		near, far := made.connect()
		if !forward {
			near, far = far, near
		}
		made.network.SetState([]links.Link{lost}, blocked)
		write(near, "lost")
		Expect(<-made.losses).To(Equal(loss{lost, 4}))
		write(far, "kept")
		Expect(read(near, 4)).To(Equal("kept"))

		made.network.SetState([]links.Link{lost}, unblocked)
		received, _ := io.ReadAll(far)
		Expect(received).To(BeEmpty(), "a stream that has lost bytes must not deliver later bytes")
		sender, target := made.connect()
		write(sender, "again")
		Expect(read(target, 5)).To(Equal("again"))
		write(target, "and back")
		Expect(read(sender, 8)).To(Equal("and back"))
	},
		Entry("from the sender to the target", toTarget, true),
		Entry("from the target to the sender", toSender, false),
	)

	It("keeps a stream that lost no bytes while the link was blocked", func() {
		made := newPath()
		sender, target := made.connect()
		made.network.SetState([]links.Link{toTarget, toSender}, blocked)
		made.network.SetState([]links.Link{toTarget, toSender}, unblocked)
		write(sender, "whole")
		Expect(read(target, 5)).To(Equal("whole"))
	})

	It("loses the bytes of a connection that was made while the link was blocked", func() {
		made := newPath()
		made.network.SetState([]links.Link{toTarget}, blocked)
		sender, target := made.connect()
		write(sender, "lost")
		Expect(<-made.losses).To(Equal(loss{toTarget, 4}))
		made.network.SetState([]links.Link{toTarget}, unblocked)
		received, _ := io.ReadAll(target)
		Expect(received).To(BeEmpty())
	})

	It("closes the sender's connection after the target closed it while the link was blocked", func() {
		made := newPath()
		sender, target := made.connect()
		made.network.SetState([]links.Link{toSender}, blocked)
		Expect(target.Close()).To(Succeed())
		write(sender, "into the void")
		made.network.SetState([]links.Link{toSender}, unblocked)
		_, err := sender.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("delays bytes by the delay of the link", func() {
		const delay = 20 * time.Millisecond
		made := newPath()
		sender, target := made.connect()
		made.network.SetState([]links.Link{toTarget}, links.LinkState{Delay: delay})
		began := time.Now()
		write(sender, "late")
		Expect(read(target, 4)).To(Equal("late"))
		Expect(time.Since(began)).To(BeNumerically(">=", delay))
	})

	It("refuses connections to a machine that does not listen", func() {
		made := newPath()
		Expect(made.target.Close()).To(Succeed())
		err := made.attempt()
		Expect(err).To(MatchError(ContainSubstring("reset")))
		made.target, err = net.Listen("tcp", made.target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
	})
})

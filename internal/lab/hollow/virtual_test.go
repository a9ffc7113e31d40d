package hollow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const second = time.Second

// handOver is a network within the process, so that a fleet can run on the
// virtual clock of a test. Frames on it take no time.
type handOver struct {
	settings Settings
	receive  deliver
	queues   map[string]chan []byte
	names    []string
	end      chan struct{}
}

func newHandOver(settings Settings, receive deliver) *handOver {
	const queued = 4096
	made := &handOver{settings: settings, receive: receive, queues: map[string]chan []byte{}, end: make(chan struct{})}
	for number := range settings.Nodes {
		queue := make(chan []byte, queued)
		made.names = append(made.names, settings.hostOf(number))
		made.queues[settings.hostOf(number)] = queue
		go made.carry(number, queue)
	}
	return made
}

func (h *handOver) carry(number int, queue <-chan []byte) {
	for {
		select {
		case frame := <-queue:
			h.receive(number, frame)
		case <-h.end:
			return
		}
	}
}

func (h *handOver) addresses() []string { return h.names }

func (h *handOver) send(_ int, address string, frame []byte) { h.queues[address] <- frame }

func (h *handOver) dropped() uint64 { return 0 }

func (h *handOver) close() { close(h.end) }

// TestFleetOnVirtualClock starts a small fleet, changes its configuration and
// looks at what the measurement saw, without a real second going by.
func TestFleetOnVirtualClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		settings := small()
		began := time.Now()
		fleet, err := newFleet(settings, func() time.Duration { return time.Since(began) },
			func(receive deliver) (network, error) { return newHandOver(settings, receive), nil })
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), settings.ConvergenceTimeout)
		defer cancel()
		g.Expect(fleet.startUntil(ctx, ctx)).To(Succeed())
		defer fleet.stop()
		g.Expect(fleet.awaitConvergence(ctx)).To(Equal(settings.Nodes))

		result := newResult(settings)
		result.ConvergedNodes = settings.Nodes
		result.measure(ctx, fleet, newUsageMeter(settings.Nodes))

		g.Expect(result.StableInRealTime).To(BeTrue())
		g.Expect(result.Seconds).To(BeNumerically("~", settings.Duration.Seconds(), 0.01))
		g.Expect(result.Spread.Submitted).To(BeNumerically(">=", 2))
		g.Expect(result.Spread.Confirmed).To(Equal(result.Spread.Submitted))
		g.Expect(result.Spread.ToEachNode.Count).To(Equal(int64(settings.Nodes * result.Spread.Submitted)))
		g.Expect(result.Spread.ToEveryNode.Max).To(BeNumerically("<", 1000))
		g.Expect(result.All.SentMessages).To(BeNumerically("~", result.All.ReceivedMessages, 2))
		g.Expect(rate(result.FrontNodes, "membership heartbeat")).To(BeNumerically("~", 30, 3))
		g.Expect(rate(result.FrontNodes, "replication heartbeat")).To(BeZero())
		g.Expect(rate(result.CoreNodes, "replication heartbeat")).To(BeNumerically(">", 1))
	})
}

// rate is how many messages of a kind a node sends in a second.
func rate(of Rates, name string) float64 {
	for _, one := range of.Kinds {
		if one.Kind == name {
			return one.SentMessages
		}
	}
	return 0
}

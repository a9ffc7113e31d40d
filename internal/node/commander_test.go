package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// pausedCommander is a ReplicaCommander of a process that is paused until after the deadline of a
// command, and whose timers have not run when it goes on.
type pausedCommander struct {
	ReplicaCommander
	url   string
	pause time.Duration
	err   error
}

// LoadWeights implements ReplicaCommander.
func (p *pausedCommander) LoadWeights(ctx context.Context, _ control.Command) (control.CommandOutcome, error) {
	time.Sleep(p.pause)
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, p.url, nil)
	if err != nil {
		return control.CommandNotSent, err
	}
	response, err := outbound.NewDirect(outbound.DirectOptions{}).Send(request, nil)
	p.err = err
	if err != nil {
		return control.CommandNotSent, err
	}
	return control.CommandAccepted, response.Body.Close()
}

var _ = Describe("A commander", func() {
	// Guards against commands that a paused leader sends after its lease.
	It("sends no command after its deadline, although the process was paused since the last check", func() {
		var received atomic.Int64
		replica := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
		DeferCleanup(replica.Close)
		commands := &pausedCommander{url: replica.URL, pause: 100 * time.Millisecond}
		sender := newCommander(commands, logrus.NewEntry(logrus.New()))
		outcome := sender.send(control.Command{Deadline: clock.SinceBoot() + 50*time.Millisecond})
		Expect(outcome).To(Equal(control.CommandNotSent))
		Expect(commands.err).To(MatchError(outbound.ErrTooLate))
		Expect(received.Load()).To(BeZero())
	})
})

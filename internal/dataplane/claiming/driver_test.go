package claiming_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/claiming"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/pkg/claims"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

func TestClaiming(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Claiming Suite")
}

var _ = Describe("Driver", func() {
	names := []member.ID{"a", "b", "c"}
	var drivers map[member.ID]*claiming.Driver
	var clock atomic.Int64
	// partitioned drops all messages between nodes while it is set.
	var partitioned atomic.Bool
	var dropped chan claims.Message

	BeforeEach(func() {
		clock.Store(0)
		partitioned.Store(false)
		dropped = make(chan claims.Message, 64)
		drivers = map[member.ID]*claiming.Driver{}
		for _, name := range names {
			drivers[name] = claiming.New(claiming.Options{
				Config: claims.Config{Self: name, Incarnation: 1},
				Clock:  func() time.Duration { return time.Duration(clock.Load()) },
				Send: func(to member.ID, message claims.Message) {
					if partitioned.Load() {
						dropped <- message
						return
					}
					drivers[to].Receive(name, message)
				},
			})
			drivers[name].SetDirectory([]claims.Set{{Epoch: 1, Members: names}})
		}
		clock.Store(int64(2 * claims.DefaultRetention))
	})

	claim := func(name member.ID) (exchange.Claim, error) {
		return drivers[name].Claim(context.Background(), "court", "r-1")
	}

	It("grants the claim on a request to one node at a time", func() {
		granted, err := claim("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(granted.Valid()).To(BeTrue())
		_, err = claim("b")
		Expect(err).To(MatchError(claimer.ErrAlreadyClaimed))
		granted.End(false)
		_, err = claim("b")
		Expect(err).NotTo(HaveOccurred())
	})

	It("invalidates a claim that the homes have not acknowledged within the retention period", func() {
		granted, err := claim("a")
		Expect(err).NotTo(HaveOccurred())
		clock.Add(int64(claims.DefaultRetention))
		Expect(granted.Valid()).To(BeFalse())
	})

	It("returns ErrClaimUndecided after the decision timeout if too few homes reply", func() {
		partitioned.Store(true)
		failed := make(chan error, 1)
		go func() {
			_, err := claim("a")
			failed <- err
		}()
		<-dropped
		<-dropped
		clock.Add(int64(claims.DefaultDecisionTimeout))
		drivers["a"].Tick()
		Expect(<-failed).To(MatchError(claimer.ErrClaimUndecided))
	})

	It("releases a claim when the context of the waiting request is cancelled", func() {
		partitioned.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := drivers["a"].Claim(ctx, "court", "r-1")
		Expect(err).To(MatchError(claimer.ErrClaimUndecided))
		partitioned.Store(false)
		_, err = claim("a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns ErrClaimUndecided without a directory", func() {
		unconfigured := claiming.New(claiming.Options{Clock: func() time.Duration { return 0 }})
		_, err := unconfigured.Claim(context.Background(), "court", "r-1")
		Expect(err).To(MatchError(claimer.ErrClaimUndecided))
	})
})

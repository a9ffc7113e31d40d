package player_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/player"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// virtualClock moves on only when somebody waits.
type virtualClock struct {
	mutex sync.Mutex
	now   time.Duration
	waits []time.Duration
	// endAt, if set, is when the replay is interrupted.
	endAt time.Duration
}

func (c *virtualClock) Now() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *virtualClock) WaitUntil(_ context.Context, at time.Duration) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.endAt > 0 && at >= c.endAt {
		return context.Canceled
	}
	c.waits = append(c.waits, at)
	c.now = max(c.now, at)
	return nil
}

// scriptedSender gives results in turn, and holds requests back while it is
// told to.
type scriptedSender struct {
	mutex   sync.Mutex
	results []player.Result
	sent    []player.Attempt
	unknown string
	hold    chan struct{}
}

func (s *scriptedSender) Knows(tenant string) bool { return tenant != s.unknown }

func (s *scriptedSender) Send(_ context.Context, attempt player.Attempt) player.Result {
	if s.hold != nil {
		<-s.hold
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent = append(s.sent, attempt)
	if len(s.results) == 0 {
		return player.Result{Outcome: recording.Completed}
	}
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

func at(seconds ...float64) []recording.Record {
	var records []recording.Record
	for _, second := range seconds {
		records = append(records, recording.Record{AtUS: int64(second * 1e6), Tenant: "court", Host: "h", Pool: "cases"})
	}
	return records
}

func options(clock player.Clock, speed float64) player.Options {
	return player.Options{Clock: clock, MaxInFlight: 16, Selection: player.Selection{Speed: speed}}
}

var _ = Describe("Play", func() {
	It("sends each request at its time divided by the speed", func() {
		clock := &virtualClock{}
		played, err := player.Play(context.Background(), at(0, 10, 10, 600), &scriptedSender{unknown: "x"}, options(clock, 20))
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.waits).To(Equal([]time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond, 30 * time.Second}))
		Expect(played.Samples).To(HaveLen(4))
		Expect(played.MaxLag).To(BeZero())
	})

	It("begins with the selected part of the day", func() {
		clock := &virtualClock{}
		day := &recording.Day{Records: at(0, 100, 160, 200)}
		selection, records, err := player.Selection{Speed: 2, From: 90 * time.Second, Until: 200 * time.Second}.Of(day)
		Expect(err).NotTo(HaveOccurred())
		_, err = player.Play(context.Background(), records, &scriptedSender{unknown: "x"}, player.Options{Clock: clock, MaxInFlight: 1, Selection: selection})
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.waits).To(Equal([]time.Duration{5 * time.Second, 35 * time.Second}))
	})

	DescribeTable("refuses parts and speeds that cannot be replayed", func(selection player.Selection) {
		_, _, err := selection.Of(&recording.Day{Records: at(0, 1)})
		var refused *player.SelectionError
		Expect(errors.As(err, &refused)).To(BeTrue())
	},
		Entry("too slow", player.Selection{Speed: 0.5}),
		Entry("too fast", player.Selection{Speed: 101}),
		Entry("turned round", player.Selection{Speed: 1, From: 2, Until: 1}),
		Entry("after the day", player.Selection{Speed: 1, From: time.Hour, Until: 2 * time.Hour}))

	It("does not wait for a slow fleet: what exceeds the bound is skipped and counted", func() {
		sender := &scriptedSender{unknown: "x", hold: make(chan struct{})}
		clock := &releasingClock{after: 5, release: sender.hold}
		limited := options(clock, 1)
		limited.MaxInFlight = 2
		played, err := player.Play(context.Background(), at(0, 1, 2, 3, 4, 5), sender, limited)
		Expect(err).NotTo(HaveOccurred())
		Expect(played.Skipped.MaxInFlight).To(BeNumerically(">=", 3))
		Expect(len(played.Samples) + played.Skipped.MaxInFlight).To(Equal(6))
	})

	It("comes back after a refusal that did not run, when it was told, and counts that as a retry", func() {
		refused := player.Result{Outcome: recording.Refused, Problem: "queue_full", Certain: true, RetryAfter: 3 * time.Second}
		sender := &scriptedSender{unknown: "x", results: []player.Result{
			refused, refused,
			{Outcome: recording.Completed, ReusedTokens: 7, FirstToken: time.Second},
		}}
		played, err := player.Play(context.Background(), at(0), sender, options(&virtualClock{}, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(played.Samples).To(ConsistOf(report.Sample{
			Tenant: "court", Destination: "cases", Outcome: recording.Completed,
			Retries: 2, ReusedTokens: 7, FirstToken: 7 * time.Second, Total: 6 * time.Second,
		}))
	})

	DescribeTable("does not come back otherwise", func(result player.Result) {
		sender := &scriptedSender{unknown: "x", results: []player.Result{result}}
		played, err := player.Play(context.Background(), at(0), sender, options(&virtualClock{}, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(sender.sent).To(HaveLen(1))
		Expect(played.Samples[0].Outcome).To(Equal(result.Outcome))
	},
		Entry("may have run", player.Result{Outcome: recording.Refused, RetryAfter: time.Second}),
		Entry("not told when", player.Result{Outcome: recording.Refused, Certain: true}),
		Entry("cut", player.Result{Outcome: recording.Truncated, Certain: true, RetryAfter: time.Second}))

	It("skips tenants without a key and fetches that must not run twice", func() {
		records := at(0, 1, 2)
		records[0].Tenant = "stranger"
		records[1].Pool, records[1].WebService = "", "calendar"
		played, err := player.Play(context.Background(), records, &scriptedSender{unknown: "stranger"}, options(&virtualClock{}, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(played.Skipped).To(Equal(report.Skipped{NoKey: 1, Unsupported: 1}))
		Expect(played.Samples).To(HaveLen(1))
	})

	It("returns what was sent when it is interrupted", func() {
		played, err := player.Play(context.Background(), at(0, 1, 2), &scriptedSender{unknown: "x"}, options(&virtualClock{endAt: 2 * time.Second}, 1))
		Expect(err).To(MatchError(context.Canceled))
		Expect(played.Samples).To(HaveLen(2))
	})
})

// releasingClock lets the held requests go at its last wait.
type releasingClock struct {
	virtualClock
	after   int
	release chan struct{}
}

func (c *releasingClock) WaitUntil(ctx context.Context, at time.Duration) error {
	err := c.virtualClock.WaitUntil(ctx, at)
	if len(c.waits) == c.after+1 {
		close(c.release)
	}
	return err
}

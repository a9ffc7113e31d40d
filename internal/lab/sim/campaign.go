package sim

import (
	"fmt"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Campaign is a range of seeds to run.
type Campaign struct {
	First, Last uint64
	Virtual     time.Duration
	Break       Break
	// FailOpen chooses the kind of deployment, see Settings.
	FailOpen bool
	// Faults names the kinds of faults to draw from; none stands for all.
	Faults []string
	// FinishFirst chooses the kind of replicas, see Settings.
	FinishFirst bool
	// Jobs is the number of seeds that run concurrently.
	Jobs int
	// StopAfter ends the campaign after that many failing seeds; 0 means never.
	StopAfter int
}

// Failure is a seed in which an invariant did not hold.
type Failure struct {
	Seed       uint64      `json:"seed"`
	Violations []Violation `json:"violations"`
}

// Summary is the outcome of a campaign.
type Summary struct {
	FirstSeed      uint64  `json:"first_seed"`
	LastSeed       uint64  `json:"last_seed"`
	Seeds          uint64  `json:"seeds"`
	Break          Break   `json:"break,omitempty"`
	VirtualSeconds float64 `json:"virtual_seconds"`
	WallSeconds    float64 `json:"wall_seconds"`
	Counts
	Violations int       `json:"violations"`
	Failures   []Failure `json:"failures"`
}

// SeedsError reports that a range of seeds cannot be parsed.
type SeedsError struct {
	Text string
}

// Error names the expected form.
func (e *SeedsError) Error() string {
	return fmt.Sprintf("%q is no range of seeds; write a seed such as 7 or a range such as 1-2000", e.Text)
}

// ParseSeeds parses a seed or a range of seeds. The error is a *SeedsError.
func ParseSeeds(text string) (first, last uint64, err error) {
	begin, end, isRange := strings.Cut(text, "-")
	if !isRange {
		end = begin
	}
	first, err = strconv.ParseUint(begin, 10, 64)
	if err != nil {
		return 0, 0, &SeedsError{Text: text}
	}
	last, err = strconv.ParseUint(end, 10, 64)
	if err != nil || last < first {
		return 0, 0, &SeedsError{Text: text}
	}
	return first, last, nil
}

// Run simulates the seeds of the campaign on Jobs goroutines, and returns once
// all of them have ended.
func (c Campaign) Run() Summary {
	summary := Summary{
		FirstSeed: c.First,
		LastSeed:  c.Last,
		Break:     c.Break,
		Counts:    Counts{Faults: map[string]uint64{}},
		Failures:  []Failure{},
	}
	seeds := make(chan uint64)
	results := make(chan Result)
	stop := make(chan struct{})
	go c.deal(seeds, stop)
	go c.work(seeds, results)
	for result := range results {
		summary.add(result)
		if c.StopAfter > 0 && len(summary.Failures) == c.StopAfter {
			close(stop)
			// Those under way may add failures, but must not close again.
			c.StopAfter = 0
		}
	}
	return summary
}

// Settings returns the settings of one seed of the campaign.
func (c Campaign) Settings(seed uint64) Settings {
	return Settings{
		Seed:        seed,
		Virtual:     c.Virtual,
		Break:       c.Break,
		FailOpen:    c.FailOpen,
		Faults:      c.Faults,
		FinishFirst: c.FinishFirst,
	}
}

func (c Campaign) deal(seeds chan<- uint64, stop <-chan struct{}) {
	defer close(seeds)
	for seed := c.First; seed <= c.Last; seed++ {
		select {
		case seeds <- seed:
		case <-stop:
			return
		}
	}
}

func (c Campaign) work(seeds <-chan uint64, results chan<- Result) {
	var workers sync.WaitGroup
	for range max(1, c.Jobs) {
		workers.Go(func() {
			for seed := range seeds {
				results <- RunSafely(c.Settings(seed))
			}
		})
	}
	workers.Wait()
	close(results)
}

// RunSafely is Run that reports a panic of the code under test as a violation.
func RunSafely(settings Settings) (result Result) {
	defer func() {
		if cause := recover(); cause != nil {
			result.Seed = settings.Seed
			result.Violations = append(result.Violations, Violation{
				Invariant: "no_panic",
				Detail:    fmt.Sprintf("%v\n%s", cause, debug.Stack()),
			})
		}
	}()
	return Run(settings)
}

func (s *Summary) add(result Result) {
	s.Seeds++
	s.VirtualSeconds += result.Virtual.Seconds()
	s.Counts.add(result.Counts)
	s.Violations += len(result.Violations)
	if len(result.Violations) > 0 {
		s.Failures = append(s.Failures, Failure{Seed: result.Seed, Violations: result.Violations})
	}
}

func (c *Counts) add(other Counts) {
	c.Frames += other.Frames
	c.Requests += other.Requests
	c.Orders += other.Orders
	c.OrdersAcked += other.OrdersAcked
	c.OrdersRefused += other.OrdersRefused
	c.Resends += other.Resends
	c.Commands += other.Commands
	c.Refusals += other.Refusals
	c.EndpointReads += other.EndpointReads
	c.Reports += other.Reports
	c.Reads += other.Reads
	c.ReadsRefused += other.ReadsRefused
	c.Undecided += other.Undecided
	c.StaleCommands += other.StaleCommands
	for kind, count := range other.Faults {
		c.Faults[kind] += count
	}
}

package hollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// changeTimeout bounds how long a change may go unanswered.
const changeTimeout = 12 * time.Second

// change is one change of the configuration.
type change struct {
	submittedAt time.Duration
	repliedAt   time.Duration
	// revision is that of the configuration with the change; 0 without one.
	revision uint64
	// confirmed says that the change was acknowledged as in force on every node.
	confirmed bool
	// problem is why it failed; empty if it did not.
	problem string
}

// changes submits changes at a steady rate, each through some node.
type changes struct {
	fleet *fleet
	// random draws the nodes. The number of nodes selects its stream.
	random  *rand.Rand
	running sync.WaitGroup

	// mutex guards done, the changes that were answered or given up.
	mutex sync.Mutex
	done  []change
}

func newChanges(fleet *fleet) *changes {
	return &changes{fleet: fleet, random: rand.New(rand.NewPCG(fleet.settings.Seed, uint64(fleet.settings.Nodes)))}
}

// run submits until the context ends and then waits for the answers.
func (c *changes) run(ctx context.Context) []change {
	if c.fleet.settings.ChangeEvery > 0 {
		c.submitAll(ctx)
	}
	c.running.Wait()
	return c.done
}

func (c *changes) submitAll(ctx context.Context) {
	ticker := time.NewTicker(c.fleet.settings.ChangeEvery)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		through := c.fleet.nodes[c.random.IntN(len(c.fleet.nodes))]
		c.running.Go(func() { c.submit(ctx, through, number) })
	}
}

// submit submits one change and waits for its result, also beyond the end of the
// context, which is that of the measured time.
func (c *changes) submit(ctx context.Context, through *node, number int) {
	made := change{submittedAt: c.fleet.clock()}
	order, err := changeOrder(c.fleet.settings, number)
	if err == nil {
		answer, submitErr := c.fleet.submit(context.WithoutCancel(ctx), through, order, changeTimeout)
		err = submitErr
		made.revision = answer.GetRevision()
		made.confirmed = answer.GetConfirmed()
		made.problem = answer.GetProblem().GetMessage()
	}
	if err != nil {
		made.problem = err.Error()
	}
	made.repliedAt = c.fleet.clock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.done = append(c.done, made)
}

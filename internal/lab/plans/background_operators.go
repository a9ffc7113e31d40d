package plans

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// Numbers of the operators that submit orders all the time.
const (
	backgroundOperatorCount = 2
	backgroundOrderPause    = 300 * time.Millisecond
	// backgroundOrderTimeout bounds how long one of them resends an order.
	backgroundOrderTimeout = 45 * time.Second
)

// backgroundOperators are operators that add keys one after another.
type backgroundOperators struct {
	run     *run
	ended   chan struct{}
	running sync.WaitGroup

	lock sync.Mutex
	// newest is the latest moment at which an acknowledged order was sent.
	newest time.Duration
	// changed is closed and made again with every acknowledgement.
	changed chan struct{}
}

func newBackgroundOperators(run *run) *backgroundOperators {
	return &backgroundOperators{run: run, ended: make(chan struct{}), changed: make(chan struct{}), newest: -1}
}

func (all *backgroundOperators) start(ctx context.Context) {
	for number := range backgroundOperatorCount {
		all.running.Go(func() { all.apply(ctx, number) })
	}
}

// stop returns when every operator knows the outcome of its last order.
func (all *backgroundOperators) stop() {
	close(all.ended)
	all.running.Wait()
}

func (all *backgroundOperators) apply(ctx context.Context, operatorNumber int) {
	for number := 0; ; number++ {
		select {
		case <-all.ended:
			return
		case <-ctx.Done():
			return
		default:
		}
		if err := all.submit(ctx, fmt.Sprintf("kept-%d-%d", operatorNumber, number), number); err != nil {
			all.run.fail(err)
		}
		pause.For(ctx, backgroundOrderPause)
	}
}

// submit adds a key and resends the order until it is decided.
func (all *backgroundOperators) submit(ctx context.Context, key string, number int) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundOrderTimeout)
	defer cancel()
	order := all.run.keyOrder(key, number)
	sent := all.run.Clock.Now()
	record, err := all.run.Recorder.SubmitUntilDecided(ctx, all.run.scenario.Targets(), order)
	if err != nil {
		return err
	}
	if record.Outcome != checker.OutcomeAcknowledged {
		return errors.Errorf("order %s was refused: %s", record.OrderID, record.ProblemKind)
	}
	all.run.recordAcknowledged(order, record)
	all.recordAcknowledged(sent)
	return nil
}

// keyOrder is the order to add a key, to the tenants in turn.
func (run *run) keyOrder(key string, number int) operator.Order {
	tenants := run.Deployment.Configuration.GetTenants()
	tenant := tenants[number%len(tenants)].GetName()
	return operator.Order{
		Call: "AddKey",
		Request: &ridgeswitchv1.AddKeyRequest{
			Order:  &ridgeswitchv1.OrderHeader{OrderId: run.scenario.OrderID(key)},
			Tenant: tenant,
			Key:    &ridgeswitchv1.Key{Name: key, Sha256: dynamic.KeyDigest(run.scenario.OrderID(key))},
		},
		Change: checker.Change{Kind: checker.ChangeAddKey, Tenant: tenant, Key: key},
	}
}

func (all *backgroundOperators) recordAcknowledged(sent time.Duration) {
	all.lock.Lock()
	defer all.lock.Unlock()
	all.newest = max(all.newest, sent)
	close(all.changed)
	all.changed = make(chan struct{})
}

// await returns when an order that was sent after a moment was acknowledged.
func (all *backgroundOperators) await(ctx context.Context, moment time.Duration) error {
	for {
		all.lock.Lock()
		newest, changed := all.newest, all.changed
		all.lock.Unlock()
		if newest >= moment {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("no order sent after %v was acknowledged in time", moment)
		case <-changed:
		}
	}
}

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

// backgroundOperators are operators that add keys one after another, each in a
// goroutine of its own.
type backgroundOperators struct {
	run *run
	// ended is closed when no further order is to be submitted.
	ended   chan struct{}
	running sync.WaitGroup

	// lock guards what follows.
	lock sync.Mutex
	// newest is the latest moment at which an acknowledged order was sent; -1 before one.
	newest time.Duration
	// changed is closed and made again with every acknowledgement.
	changed chan struct{}
}

func newBackgroundOperators(run *run) *backgroundOperators {
	return &backgroundOperators{run: run, ended: make(chan struct{}), changed: make(chan struct{}), newest: -1}
}

func (operators *backgroundOperators) start(ctx context.Context) {
	for number := range backgroundOperatorCount {
		operators.running.Go(func() { operators.submitAll(ctx, number) })
	}
}

// stop returns when every operator knows the outcome of its last order.
func (operators *backgroundOperators) stop() {
	close(operators.ended)
	operators.running.Wait()
}

// submitAll is one operator: it submits orders until it is stopped.
func (operators *backgroundOperators) submitAll(ctx context.Context, operatorNumber int) {
	for number := 0; ; number++ {
		select {
		case <-operators.ended:
			return
		case <-ctx.Done():
			return
		default:
		}
		if err := operators.submit(ctx, fmt.Sprintf("kept-%d-%d", operatorNumber, number), number); err != nil {
			operators.run.fail(err)
		}
		pause.For(ctx, backgroundOrderPause)
	}
}

// submit adds a key and resends the order until it is decided.
func (operators *backgroundOperators) submit(ctx context.Context, key string, number int) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundOrderTimeout)
	defer cancel()
	order := operators.run.keyOrder(key, number)
	sent := operators.run.Clock.Now()
	if err := operators.run.requireAcknowledged(ctx, order); err != nil {
		return err
	}
	operators.recordAcknowledged(sent)
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

func (operators *backgroundOperators) recordAcknowledged(sent time.Duration) {
	operators.lock.Lock()
	defer operators.lock.Unlock()
	operators.newest = max(operators.newest, sent)
	close(operators.changed)
	operators.changed = make(chan struct{})
}

// await returns when an order that was sent after a moment was acknowledged.
func (operators *backgroundOperators) await(ctx context.Context, moment time.Duration) error {
	for {
		operators.lock.Lock()
		newest, changed := operators.newest, operators.changed
		operators.lock.Unlock()
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

package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// errWithdrawn is the cause of the cancellation of an attempt whose output had not begun when
// requests may no longer begin on the weights of its replica.
var errWithdrawn = errors.New("the replica has not begun the request, and its weights may not be used any more")

// waitingAttempts holds the attempts on replicas whose output has not begun. An attempt that was
// sent before the deadline of its replica's weights may wait at the replica until long after
// it. It may be used concurrently.
type waitingAttempts struct {
	mutex    sync.Mutex
	attempts map[*waitingAttempt]struct{}
}

// waitingAttempt is an attempt on a replica until its output begins.
type waitingAttempt struct {
	address, weightVersion string
	cancel                 context.CancelCauseFunc
	// withdrawn is set before the context of a withdrawn attempt ends.
	withdrawn atomic.Bool
}

func newWaitingAttempts() *waitingAttempts {
	return &waitingAttempts{attempts: map[*waitingAttempt]struct{}{}}
}

// begin adds an attempt. It returns the context of the attempt, which ends when the attempt is
// withdrawn. The caller must call end.
func (w *waitingAttempts) begin(ctx context.Context, address, weightVersion string) (context.Context, *waitingAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	attempt := &waitingAttempt{address: address, weightVersion: weightVersion, cancel: cancel}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.attempts[attempt] = struct{}{}
	return ctx, attempt
}

// outputBegan removes an attempt whose output has begun. It does not end its context.
func (w *waitingAttempts) outputBegan(attempt *waitingAttempt) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.attempts, attempt)
}

// end removes an attempt that has ended, and releases its context.
func (w *waitingAttempts) end(attempt *waitingAttempt) {
	w.outputBegan(attempt)
	attempt.cancel(nil)
}

// withdraw ends the contexts of the attempts on replicas on whose weights no request may begin
// any more.
func (w *waitingAttempts) withdraw(now time.Duration, view *routing.View) {
	for _, pool := range view.Pools {
		for _, replica := range pool.Replicas {
			if limit, limited := replica.LatestStart(); limited && now >= limit {
				w.withdrawFrom(replica)
			}
		}
	}
}

// withdrawFrom ends the contexts of the attempts on a replica.
func (w *waitingAttempts) withdrawFrom(replica routing.Replica) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for attempt := range w.attempts {
		if attempt.address == replica.Address && attempt.weightVersion == replica.WeightVersion {
			attempt.withdrawn.Store(true)
			attempt.cancel(errWithdrawn)
		}
	}
}

// count returns the number of attempts.
func (w *waitingAttempts) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.attempts)
}

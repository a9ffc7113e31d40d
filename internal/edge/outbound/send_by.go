package outbound

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLate is the cause of the error of a request that was not sent by the time that WithSendBy
// has set.
var ErrTooLate = errors.New("the request could not be sent in time")

// sendByKey is the key of the time in a context that WithSendBy returns.
type sendByKey struct{}

// WithSendBy returns a context whose requests Direct does not send after a time. Unlike the end of
// the context, that time does not limit the response. The clock is read right before the first
// byte is written, so that a process which was suspended in the meantime sends nothing.
func WithSendBy(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, sendByKey{}, at)
}

// checkSendBy returns ErrTooLate if the time that WithSendBy has set has passed.
func checkSendBy(ctx context.Context) error {
	at, limited := ctx.Value(sendByKey{}).(time.Time)
	if limited && time.Now().After(at) {
		return ErrTooLate
	}
	return nil
}

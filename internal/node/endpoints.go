package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
)

// endpointReadTimeout bounds one reading of the platform's endpoint list with all its pages.
const endpointReadTimeout = 1500 * time.Millisecond

// endpointLoader implements driver.EndpointReader: it reads the platform's endpoint list
// when control asks for it. Nothing waits for its goroutine, which ends within
// endpointReadTimeout.
type endpointLoader struct {
	reader EndpointReader
	driver *driver.Driver
	log    *logrus.Entry
}

// ReadEndpoints implements driver.EndpointReader. Control asks for one reading at a time.
func (l *endpointLoader) ReadEndpoints() {
	go func() { l.driver.EndpointsRead(l.read()) }()
}

// read reads the list once. A failure is part of the result.
func (l *endpointLoader) read() control.EndpointReading {
	ctx, cancel := context.WithTimeout(context.Background(), endpointReadTimeout)
	defer cancel()
	reading := control.EndpointReading{StartedAt: clock.SinceBoot()}
	reading.Services, reading.Err = l.reader.Read(ctx)
	if reading.Err != nil {
		l.log.WithError(reading.Err).Warn("cannot read the platform's list; the last one stays in force")
	}
	return reading
}

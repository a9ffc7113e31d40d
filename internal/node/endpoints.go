package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
)

// endpointReadTimeout limits one read of the platform's endpoint list, including all its pages.
const endpointReadTimeout = 1500 * time.Millisecond

// endpointLoader implements driver.EndpointReader: it reads the platform's endpoint list
// when control requests it. Nothing waits for the goroutine that reads the list; it ends
// within endpointReadTimeout.
type endpointLoader struct {
	reader EndpointReader
	driver *driver.Driver
	log    *logrus.Entry
}

// ReadEndpoints implements driver.EndpointReader. Control requests one read at a time.
func (l *endpointLoader) ReadEndpoints() {
	go func() { l.driver.EndpointsRead(l.read()) }()
}

// read reads the list once. Err in the result is set if that fails.
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

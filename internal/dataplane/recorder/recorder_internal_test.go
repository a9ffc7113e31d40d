package recorder

import (
	"bytes"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

func TestRecorder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Recorder Suite")
}

// disk is a file in memory whose writes can be made to fail or to block.
type disk struct {
	bytes.Buffer
	// fails makes every write return an error.
	fails bool
	// entered and proceed, if set, block every write: it sends to entered and then waits
	// until proceed is closed.
	entered chan struct{}
	proceed chan struct{}
}

func (d *disk) Write(data []byte) (int, error) {
	if d.entered != nil {
		d.entered <- struct{}{}
		<-d.proceed
	}
	if d.fails {
		return 0, errors.New("the disk is full")
	}
	return d.Buffer.Write(data)
}

func (d *disk) Close() error { return nil }

// newTestRecorder returns a recorder whose goroutine does not run yet.
func newTestRecorder(target *disk, queue int, flush <-chan time.Time) (*Recorder, *bytes.Buffer) {
	log := logrus.New()
	lines := &bytes.Buffer{}
	log.SetOutput(io.MultiWriter(GinkgoWriter, lines))
	r, err := newRecorder(target, recording.NewHeader("front-1", time.Unix(1, 0)), queue, flush, logrus.NewEntry(log))
	Expect(err).NotTo(HaveOccurred())
	return r, lines
}

func someRecord() recording.Record {
	return recording.Record{Host: "h", Pool: "cases", Outcome: recording.Completed}
}

var _ = Describe("The recorder", func() {
	It("drops records while the queue is full, and writes their number to the recording", func() {
		target := &disk{}
		r, _ := newTestRecorder(target, 3, nil)
		for range 10 {
			r.Record(someRecord())
		}
		Expect(r.Stats()).To(Equal(Stats{Dropped: 7}))
		go r.run()
		r.Close()
		Expect(r.Stats()).To(Equal(Stats{Written: 3, Dropped: 7}))
		contents, err := recording.Read(&target.Buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(contents.Records).To(HaveLen(3))
		Expect(contents.Dropped).To(Equal(int64(7)))
		Expect(contents.Faults.Total()).To(BeZero())
	})

	It("never delays a request while the disk does not respond", func() {
		flush := make(chan time.Time)
		target := &disk{}
		r, _ := newTestRecorder(target, 2, flush)
		target.entered, target.proceed = make(chan struct{}), make(chan struct{})
		go r.run()
		r.Record(someRecord())
		flush <- time.Time{}
		flushed := false
		for !flushed {
			select {
			case <-target.entered:
				flushed = true
			case flush <- time.Time{}:
			}
		}
		// The recorder's goroutine is now blocked in a write.
		for range 20 {
			r.Record(someRecord())
		}
		Expect(r.Stats().Dropped).To(Equal(uint64(18)))
		close(target.proceed)
		go func() {
			for range target.entered {
				continue
			}
		}()
		r.Close()
		Expect(r.Stats()).To(Equal(Stats{Written: 3, Dropped: 18}))
	})

	It("keeps running after a write error, counts the failed records and logs the error once", func() {
		target := &disk{}
		flush := make(chan time.Time)
		r, log := newTestRecorder(target, 64, flush)
		target.fails = true
		go r.run()
		flush <- time.Time{}
		r.Record(someRecord())
		r.Close()
		Expect(bytes.Count(log.Bytes(), []byte("cannot be written"))).To(Equal(1))

		again, log := newTestRecorder(&disk{}, 64, nil)
		again.buffer.Reset(&disk{fails: true})
		Expect(again.writer.Drop(1)).To(Succeed())
		again.flushNow()
		again.write(someRecord())
		Expect(again.Stats()).To(Equal(Stats{Failed: 1}))
		Expect(bytes.Count(log.Bytes(), []byte("cannot be written"))).To(Equal(1))
	})
})

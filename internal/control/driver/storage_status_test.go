package driver

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// sizedStorage is a Storage that uses the given number of bytes. Its disk is full for the
// given number of calls of Save.
type sizedStorage struct {
	bytes    int64
	refusals atomic.Int64
}

func (s *sizedStorage) DiskBytes() int64 { return s.bytes }
func (s *sizedStorage) Save(replication.Ready) error {
	if s.refusals.Add(-1) >= 0 {
		return &twoslot.Error{Kind: twoslot.KindDiskFull}
	}
	return nil
}

func (s *sizedStorage) Checkpoint(replication.HardState, *replication.Snapshot, []replication.Entry) error {
	return nil
}

var _ = Describe("storageMonitor", func() {
	newMonitor := func(shard *sizedStorage) (*storageMonitor, *bytes.Buffer) {
		written := &bytes.Buffer{}
		logger := logrus.New()
		logger.SetOutput(written)
		logger.SetFormatter(&logrus.JSONFormatter{})
		monitor := newStorageMonitor(newSoloMachine(nil), map[uint32]Storage{0: shard}, logrus.NewEntry(logger))
		return monitor, written
	}

	It("reports sizes, and warns once each time that a size comes near its limit", func() {
		shard := &sizedStorage{bytes: 10}
		monitor, written := newMonitor(shard)
		monitor.diskLimit = 1000
		machine := newSoloMachine(nil)
		monitor.update(machine)
		Expect(written.String()).To(BeEmpty())
		Expect(monitor.Status().Disk).To(BeEquivalentTo(10))
		Expect(monitor.Status().ConfigurationLimit).To(BeEquivalentTo(machine.StorageLimits().Command))
		for range 2 {
			for _, size := range []int64{800, 900, 10} {
				shard.bytes = size
				monitor.update(machine)
			}
		}
		Expect(bytes.Count(written.Bytes(), []byte("most of the disk"))).To(Equal(2))
		Expect(written.String()).To(ContainSubstring(`"disk_limit_bytes":1000`))
		monitor.configuration.Store(monitor.configurationLimit)
		monitor.update(machine)
		monitor.update(machine)
		Expect(bytes.Count(written.Bytes(), []byte("near its size limit, above which it is refused"))).To(Equal(1))
	})

	It("reports a full disk until the refused write succeeds", func() {
		shard := &sizedStorage{}
		shard.refusals.Store(1)
		monitor, _ := newMonitor(shard)
		done := make(chan struct{})
		writer := &shardWriter{
			storage: shard, log: monitor.log, diskFullWriters: &monitor.diskFullWriters,
			queue: make(chan control.StorageWrite, 1), written: func() { close(done) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go writer.run(ctx)
		writer.queue <- control.StorageWrite{}
		Eventually(func() bool { return monitor.Status().DiskFull }).Should(BeTrue())
		Eventually(done, 5*time.Second).Should(BeClosed())
		Expect(monitor.Status().DiskFull).To(BeFalse())
	})
})

package twoslot_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

// failingDisk returns err, if it is set, from Append: an error that does not tell whether
// the data is durable.
type failingDisk struct {
	*memdisk.Disk
	err error
}

func (d *failingDisk) Append(name string, data []byte) error {
	if d.err != nil {
		return d.err
	}
	return d.Disk.Append(name, data)
}

var _ = Describe("A store", func() {
	It("contains what was written after each step when it is opened again", func() {
		disk := memdisk.New()
		var want view
		for _, next := range history {
			store, contents, err := twoslot.Open(disk, storeName)
			Expect(err).NotTo(HaveOccurred())
			Expect(viewOf(contents).String()).To(Equal(want.String()))
			Expect(next.run(store)).To(Succeed())
			want = want.after(next)
		}
	})

	It("counts the log bytes after the newest checkpoint", func() {
		store, _, err := twoslot.Open(memdisk.New(), storeName)
		Expect(err).NotTo(HaveOccurred())
		empty := store.LogBytes()
		Expect(store.Append([]byte("record"))).To(Succeed())
		Expect(store.LogBytes()).To(BeNumerically(">", empty+len("record")))
		Expect(store.Checkpoint([]byte("payload"))).To(Succeed())
		Expect(store.LogBytes()).To(Equal(empty))
	})

	// Guards against a store that keeps two generations of a large state on disk when no
	// checkpoint is being written (issue 37).
	It("occupies the space of one generation, and of two while a checkpoint is written", func() {
		const payloadBytes, logBytes, overheadBytes = 1000, 700, 300
		disk := memdisk.New()
		for range 4 {
			store, _, err := twoslot.Open(disk, storeName)
			Expect(err).NotTo(HaveOccurred())
			for range 3 {
				Expect(store.Append(make([]byte, logBytes))).To(Succeed())
				Expect(store.Checkpoint(make([]byte, payloadBytes))).To(Succeed())
				Expect(store.DiskBytes()).To(BeNumerically("<", payloadBytes+overheadBytes))
				Expect(disk.Used()).To(Equal(store.DiskBytes()))
			}
		}
		Expect(disk.Stats().PeakBytes).To(BeNumerically("<", 2*payloadBytes+logBytes+overheadBytes))
	})

	It("frees the files that a crash or an earlier release left of the previous generation when it is opened", func() {
		const largeBytes = 5000
		disk := memdisk.New()
		store, _, err := twoslot.Open(disk, storeName)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Append(make([]byte, largeBytes))).To(Succeed())
		former, err := disk.ReadFile(storeName + ".log0")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Checkpoint([]byte("payload"))).To(Succeed())
		Expect(disk.WriteFile(storeName+".log0", former)).To(Succeed())
		store, contents, err := twoslot.Open(disk, storeName)
		Expect(err).NotTo(HaveOccurred())
		Expect(contents).To(Equal(twoslot.Contents{Payload: []byte("payload")}))
		Expect(disk.Used()).To(BeNumerically("<", largeBytes))
		Expect(store.DiskBytes()).To(Equal(disk.Used()))
	})

	It("is unchanged by a full disk, at any capacity, and accepts writes again once there is space", func() {
		const maxCapacity = 600
		refused := 0
		for capacity := 100; capacity < maxCapacity; capacity++ {
			disk := memdisk.New()
			store, _, err := twoslot.Open(disk, storeName)
			Expect(err).NotTo(HaveOccurred())
			disk.SetCapacity(capacity)
			var want view
			for _, next := range history {
				if err := next.run(store); err != nil {
					Expect(err).To(MatchError(twoslot.ErrDiskFull))
					refused++
					_, contents, err := twoslot.Open(disk.Clone(), storeName)
					Expect(err).NotTo(HaveOccurred())
					Expect(viewOf(contents).String()).To(Equal(want.String()), "capacity %d", capacity)
					disk.SetCapacity(0)
					Expect(next.run(store)).To(Succeed())
					disk.SetCapacity(capacity)
				}
				want = want.after(next)
			}
			Expect(checkUsable(disk.Clone(), outcome{want, want})).To(Succeed())
		}
		Expect(refused).To(BeNumerically(">", 0))
	})

	It("opens with a torn tail on a full disk and appends once there is space", func() {
		disk := memdisk.New()
		beforeCrash := runHistory(disk, history[:1])
		disk.CrashAt(memdisk.Crash{Position: disk.Stats().Positions + 7, Tear: memdisk.TearShort})
		store, _, err := twoslot.Open(disk, storeName)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Append([]byte("torn"))).To(MatchError(memdisk.ErrCrashed))
		disk.Restart()
		disk.SetFull(true)
		store, contents, err := twoslot.Open(disk, storeName)
		Expect(err).NotTo(HaveOccurred())
		Expect(viewOf(contents)).To(Equal(beforeCrash.acknowledged))
		Expect(store.Append([]byte("further"))).To(MatchError(twoslot.ErrDiskFull))
		disk.SetFull(false)
		further := step{records: []string{"further"}}
		Expect(further.run(store)).To(Succeed())
		want := beforeCrash.acknowledged.after(further)
		Expect(checkUsable(disk, outcome{want, want})).To(Succeed())
	})

	It("accepts no write after one that failed for a reason other than a full disk", func() {
		disk := &failingDisk{Disk: memdisk.New()}
		store, _, err := twoslot.Open(disk, storeName)
		Expect(err).NotTo(HaveOccurred())
		disk.err = errors.New("input/output error")
		Expect(store.Append([]byte("lost"))).To(MatchError(disk.err))
		disk.err = nil
		Expect(store.Append([]byte("later"))).To(MatchError(twoslot.ErrBroken))
		Expect(store.Checkpoint([]byte("later"))).To(MatchError(twoslot.ErrBroken))
	})

	It("starts empty on a disk that was replaced", func() {
		disk := memdisk.New()
		runHistory(disk, history)
		disk.Lose()
		Expect(checkUsable(disk, outcome{})).To(Succeed())
	})

	It("does not share files with a store of another name", func() {
		disk := memdisk.New()
		first, _, err := twoslot.Open(disk, "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Checkpoint([]byte("one"))).To(Succeed())
		_, contents, err := twoslot.Open(disk, "second")
		Expect(err).NotTo(HaveOccurred())
		Expect(contents).To(Equal(twoslot.Contents{}))
	})
})

package memdisk_test

import (
	"io/fs"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

func TestMemdisk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memdisk")
}

var _ = Describe("An in-memory disk", func() {
	var disk *memdisk.Disk

	BeforeEach(func() {
		disk = memdisk.New()
		Expect(disk.WriteFile("file", []byte("abc"))).To(Succeed())
	})

	DescribeTable("keeps part of an append that a crash interrupts, depending on the kind of tear",
		func(tear memdisk.Tear, want string) {
			disk.CrashAt(memdisk.Crash{Position: disk.Stats().Positions + 2, Tear: tear})
			Expect(disk.Append("file", []byte("def"))).To(MatchError(memdisk.ErrCrashed))
			_, err := disk.ReadFile("file")
			Expect(err).To(MatchError(memdisk.ErrCrashed))
			disk.Restart()
			Expect(disk.ReadFile("file")).To(Equal([]byte(want)))
		},
		Entry("the bytes up to the crash", memdisk.TearShort, "abcde"),
		Entry("the bytes up to the crash, and zeros for the rest", memdisk.TearZeroed, "abcde\x00"),
		Entry("none of its bytes", memdisk.TearLost, "abc"),
	)

	It("counts writes made while a delay is set and the sum of their delays", func() {
		disk.SetDelay(time.Second)
		Expect(disk.Append("file", []byte("d"))).To(Succeed())
		Expect(disk.Append("file", []byte("e"))).To(Succeed())
		Expect(disk.Stats().SlowWrites).To(Equal(2))
		Expect(disk.Stats().Delay).To(Equal(2 * time.Second))
	})

	It("rejects writes that exceed its capacity, including the file that is being replaced", func() {
		disk.SetCapacity(4)
		Expect(disk.Append("file", []byte("de"))).To(MatchError(twoslot.ErrDiskFull))
		Expect(disk.WriteFile("file", []byte("four"))).To(MatchError(twoslot.ErrDiskFull))
		Expect(disk.Stats().Refused).To(Equal(2))
		disk.SetCapacity(len("abc") + len("four"))
		Expect(disk.WriteFile("file", []byte("four"))).To(Succeed())
		Expect(disk.Append("file", []byte("ty!"))).To(Succeed())
		Expect(disk.Append("file", []byte("."))).To(MatchError(twoslot.ErrDiskFull))
		Expect(disk.Stats().PeakBytes).To(Equal(len("four") + len("ty!")))
	})

	It("frees the space of truncated bytes, unless a crash with TearLost interrupts the truncation", func() {
		disk.SetCapacity(4)
		Expect(disk.Truncate("file", 1)).To(Succeed())
		Expect(disk.Append("file", []byte("xyz"))).To(Succeed())
		for _, tear := range memdisk.Tears() {
			torn := disk.Clone()
			torn.CrashAt(memdisk.Crash{Position: torn.Stats().Positions, Tear: tear})
			Expect(torn.Truncate("file", 2)).To(MatchError(memdisk.ErrCrashed))
			torn.Restart()
			want := "ax"
			if tear == memdisk.TearLost {
				want = "axyz"
			}
			Expect(torn.ReadFile("file")).To(Equal([]byte(want)))
		}
		Expect(disk.Truncate("file", 9)).To(MatchError(fs.ErrInvalid))
		Expect(disk.Truncate("none", 0)).To(MatchError(fs.ErrInvalid))
		disk.SetFull(true)
		Expect(disk.Truncate("file", 0)).To(MatchError(twoslot.ErrDiskFull))
	})

	It("is independent of its clone", func() {
		clone := disk.Clone()
		Expect(disk.Append("file", []byte("1"))).To(Succeed())
		Expect(clone.Append("file", []byte("2"))).To(Succeed())
		Expect(clone.FlipBit("file", 0)).To(BeTrue())
		Expect(disk.ReadFile("file")).To(Equal([]byte("abc1")))
		Expect(clone.ReadFile("file")).To(Equal([]byte("`bc2")))
		disk.Lose()
		_, err := disk.ReadFile("file")
		Expect(err).To(MatchError(fs.ErrNotExist))
	})
})

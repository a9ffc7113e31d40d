package twoslot_test

import (
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

// diskAfterCrash runs the history on a new disk until the crash. It returns the disk as the
// crash left it, and the contents that are allowed on it.
func diskAfterCrash(crash memdisk.Crash) (*memdisk.Disk, outcome) {
	disk := memdisk.New()
	disk.CrashAt(crash)
	result := runHistory(disk, history)
	disk.Restart()
	return disk, result
}

// checkUsable opens the store on a disk, and returns an error unless its contents are
// allowed and a record that is appended to them is found when the store is opened again.
func checkUsable(disk *memdisk.Disk, allowed outcome) error {
	store, contents, err := twoslot.Open(disk, storeName)
	if err != nil {
		return err
	}
	found := viewOf(contents)
	if !allowed.allows(found) {
		return fmt.Errorf("store contains %v, want %v or %v", found, allowed.acknowledged, allowed.inProgress)
	}
	further := step{records: []string{"further"}}
	if err := further.run(store); err != nil {
		return err
	}
	_, contents, err = twoslot.Open(disk, storeName)
	if err != nil {
		return err
	}
	if again := viewOf(contents); again.String() != found.after(further).String() {
		return fmt.Errorf("store contains %v after a further append, want %v", again, found.after(further))
	}
	return nil
}

// forEachCrash calls check for every position and kind of a crash.
func forEachCrash(check func(crash memdisk.Crash)) {
	total := positionsOf(history)
	Expect(total).To(BeNumerically(">", 400))
	for _, tear := range memdisk.Tears() {
		for position := range total + 1 {
			check(memdisk.Crash{Position: position, Tear: tear})
		}
	}
}

// checkDamaged returns an error unless opening the store on a damaged disk returns allowed
// contents or an error that matches ErrCorrupt.
func checkDamaged(disk *memdisk.Disk, allowed outcome) error {
	_, contents, err := twoslot.Open(disk, storeName)
	if errors.Is(err, twoslot.ErrCorrupt) {
		return nil
	}
	if err != nil {
		return err
	}
	if found := viewOf(contents); !allowed.allows(found) {
		return fmt.Errorf("store opened without an error and contains %v, want %v or %v", found, allowed.acknowledged, allowed.inProgress)
	}
	return nil
}

// forEachFlip calls check with a copy of the disk for each bit on it.
func forEachFlip(disk *memdisk.Disk, check func(name string, bit int, damaged *memdisk.Disk)) {
	for _, name := range disk.Names() {
		for bit := 0; ; bit++ {
			damaged := disk.Clone()
			if !damaged.FlipBit(name, bit) {
				break
			}
			check(name, bit, damaged)
		}
	}
}

var _ = Describe("A crash", func() {
	It("at any byte keeps what was acknowledged, with or without the write in progress", func() {
		forEachCrash(func(crash memdisk.Crash) {
			disk, allowed := diskAfterCrash(crash)
			Expect(checkUsable(disk, allowed)).To(Succeed(), "%+v", crash)
		})
	})

	It("at any byte of the recovery from a crash at any byte keeps what was acknowledged, with or without the write in progress", func() {
		forEachCrash(func(first memdisk.Crash) {
			disk, allowed := diskAfterCrash(first)
			completedPositions := disk.Stats().Positions
			recovered := disk.Clone()
			_, _, err := twoslot.Open(recovered, storeName)
			Expect(err).NotTo(HaveOccurred())
			for position := range recovered.Stats().Positions {
				again := disk.Clone()
				again.CrashAt(memdisk.Crash{Position: position, Tear: first.Tear})
				_, _, err := twoslot.Open(again, storeName)
				Expect(err).To(MatchError(memdisk.ErrCrashed))
				again.Restart()
				Expect(checkUsable(again, allowed)).To(Succeed(), "first crash %+v, then a crash of the recovery at position %d; positions completed before the first crash: %d", first, position, completedPositions)
			}
		})
	})
})

var _ = Describe("A flipped bit", func() {
	It("anywhere after any step is reported or leaves the current state readable", func() {
		for steps := range len(history) + 1 {
			disk := memdisk.New()
			allowed := runHistory(disk, history[:steps])
			allowed.inProgress = allowed.acknowledged
			forEachFlip(disk, func(name string, bit int, damaged *memdisk.Disk) {
				Expect(checkDamaged(damaged, allowed)).To(Succeed(), "step %d, bit %d of %s", steps, bit, name)
			})
		}
	})

	It("anywhere after a crash is reported or leaves the current state readable", func() {
		const everyNthPosition = 5
		forEachCrash(func(crash memdisk.Crash) {
			if crash.Position%everyNthPosition != 0 {
				return
			}
			disk, allowed := diskAfterCrash(crash)
			forEachFlip(disk, func(name string, bit int, damaged *memdisk.Disk) {
				Expect(checkDamaged(damaged, allowed)).To(Succeed(), "%+v, bit %d of %s", crash, bit, name)
			})
		})
	})

	It("in the newest slot is reported as corruption", func() {
		disk := memdisk.New()
		runHistory(disk, history[:5])
		Expect(disk.FlipBit(storeName+".slot0", 300)).To(BeTrue())
		_, _, err := twoslot.Open(disk, storeName)
		Expect(err).To(MatchError(twoslot.ErrCorrupt))
		Expect(err).To(MatchError(ContainSubstring("join again")))
	})

	It("in the last acknowledged record is reported as corruption, not dropped as a torn tail", func() {
		disk := memdisk.New()
		runHistory(disk, history[:1])
		Expect(disk.FlipBit(storeName+".log0", 8*(24+8+4))).To(BeTrue())
		_, _, err := twoslot.Open(disk, storeName)
		Expect(err).To(MatchError(twoslot.ErrCorrupt))
	})
})

var _ = Describe("Damage of several bits", func() {
	It("to the newest slot and the start of its log is reported", func() {
		disk := memdisk.New()
		runHistory(disk, history[:6])
		Expect(disk.FlipBit(storeName+".slot0", 300)).To(BeTrue())
		Expect(disk.FlipBit(storeName+".log0", 40)).To(BeTrue())
		_, _, err := twoslot.Open(disk, storeName)
		Expect(err).To(MatchError(twoslot.ErrCorrupt))
	})

	It("that replaces the last byte of a record's frame by zero is reported when records follow", func() {
		disk := memdisk.New()
		runHistory(disk, history[:1])
		damaged, err := disk.ReadFile(storeName + ".log0")
		Expect(err).NotTo(HaveOccurred())
		end := len(damaged) - 1
		runHistory(disk, history[1:2])
		damaged, err = disk.ReadFile(storeName + ".log0")
		Expect(err).NotTo(HaveOccurred())
		damaged[end] = 0
		Expect(disk.WriteFile(storeName+".log0", damaged)).To(Succeed())
		_, _, err = twoslot.Open(disk, storeName)
		Expect(err).To(MatchError(twoslot.ErrCorrupt))
	})

	It("that leaves bytes of an older generation at the end of the log is reported", func() {
		disk := memdisk.New()
		runHistory(disk, history[:2])
		older, err := disk.ReadFile(storeName + ".log0")
		Expect(err).NotTo(HaveOccurred())
		runHistory(disk, history[2:5])
		newer, err := disk.ReadFile(storeName + ".log0")
		Expect(err).NotTo(HaveOccurred())
		mixed := append(newer, older[len(newer):]...)
		Expect(disk.WriteFile(storeName+".log0", mixed)).To(Succeed())
		_, _, err = twoslot.Open(disk, storeName)
		Expect(err).To(MatchError(twoslot.ErrCorrupt))
	})
})

var _ = Describe("A lost file", func() {
	It("is reported or leaves the current state readable", func() {
		for steps := range len(history) + 1 {
			disk := memdisk.New()
			allowed := runHistory(disk, history[:steps])
			allowed.inProgress = allowed.acknowledged
			for _, name := range disk.Names() {
				damaged := disk.Clone()
				damaged.LoseFile(name)
				Expect(checkDamaged(damaged, allowed)).To(Succeed(), "step %d, %s", steps, name)
			}
		}
	})
})

package storagelimit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func TestStorageLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storagelimit")
}

const mebibyte = 1 << 20

var _ = Describe("Limits", func() {
	// peakBytes returns the size of the data on the disk while a checkpoint is written: the
	// previous checkpoint, the log after it at its bound with the entry that exceeded the
	// bound, and the new checkpoint. A checkpoint contains the state and one command that is
	// not applied.
	peakBytes := func(limits storagelimit.Limits) int {
		checkpoint := 2 * limits.Command
		return checkpoint + limits.CheckpointLog + limits.Command + checkpoint
	}

	DescribeTable("leave a tenth of the disk free while a checkpoint is written", func(diskMebibytes int64) {
		machine := storagelimit.Resources{DiskBytes: diskMebibytes * mebibyte}
		Expect(peakBytes(storagelimit.For(machine))).To(BeNumerically("<", machine.DiskBytes*9/10))
	},
		Entry(nil, int64(8)), Entry(nil, int64(32)), Entry(nil, int64(64)), Entry(nil, int64(128)), Entry(nil, int64(1024)),
	)

	It("allow the largest document and configuration if the machine is large enough or not known", func() {
		const largest = dynamic.MaxSourceBytes + dynamic.MaxConfigurationBytes
		Expect(storagelimit.For(storagelimit.Resources{}).Command).To(BeNumerically(">", largest))
		Expect(storagelimit.For(storagelimit.Resources{DiskBytes: 1 << 40, MemoryBytes: 1 << 40}).Command).To(BeNumerically(">", largest))
	})

	It("follow from the scarcer one of disk and memory", func() {
		disk := storagelimit.For(storagelimit.Resources{DiskBytes: 64 * mebibyte, MemoryBytes: 1 << 40})
		memory := storagelimit.For(storagelimit.Resources{DiskBytes: 1 << 40, MemoryBytes: 144 * mebibyte})
		Expect(disk.Command).To(Equal(64 * mebibyte / 10))
		Expect(memory.Command).To(Equal(4 * mebibyte))
		Expect(memory.Log).To(BeNumerically("<=", memory.Command))
	})
})

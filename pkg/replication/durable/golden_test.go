package durable

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

// The golden files were written by an earlier release and are never regenerated: this
// release must be able to read the files of an earlier one, and the other way round. They
// are written only if the folder does not exist and the environment variable writeGolden is
// set.
const (
	goldenFolder = "testdata/golden"
	writeGolden  = "RIDGESWITCH_WRITE_GOLDEN"
)

// entriesOfEveryKind contains an entry of each kind.
var entriesOfEveryKind = []replication.Entry{
	{Index: 28, Term: 6, Kind: replication.EntryBarrier},
	{Index: 29, Term: 6, Kind: replication.EntryGroupChange, Command: []byte(`[{"ID":"a","Incarnation":1,"Learner":false}]`)},
	{Index: 30, Term: 6, Kind: replication.EntryRestore, Command: []byte("state")},
	{Index: 31, Term: 6, Kind: replication.EntryCommand, Command: []byte{}},
}

var _ = Describe("Files of an earlier release", func() {
	It("are written byte for byte by the same operations, except for the previous generation, and restore the same state", func() {
		disk := memdisk.New()
		_, expected := runScript(disk)
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
		Expect(err).NotTo(HaveOccurred())
		for _, ready := range []replication.Ready{
			{HardState: &replication.HardState{Term: 6, VotedFor: "a", VotedForIncarnation: 1 << 60, Commit: 27}, Entries: entriesOfEveryKind[:2]},
			{Entries: entriesOfEveryKind[2:]},
		} {
			Expect(log.Save(ready)).To(Succeed())
			expected = operation{ready: ready}.after(expected)
		}

		if os.Getenv(writeGolden) != "" {
			writeGoldenFiles(disk)
		}
		files, err := os.ReadDir(goldenFolder)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(len(disk.Names())))
		golden := memdisk.New()
		for _, file := range files {
			data, err := os.ReadFile(filepath.Join(goldenFolder, file.Name()))
			Expect(err).NotTo(HaveOccurred())
			Expect(disk.ReadFile(file.Name())).To(Equal(expectedContent(file.Name(), data)), file.Name())
			Expect(golden.WriteFile(file.Name(), data)).To(Succeed())
		}
		_, restored, err := Open(golden, logName)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(expected))
	})
})

// expectedContent returns what this release writes in place of a golden file. Earlier
// releases kept both files of the previous generation (3, where 4 is the newest) in full;
// this release keeps only the header of its log.
func expectedContent(name string, golden []byte) []byte {
	const logHeaderBytes = 24
	switch name {
	case logName + ".slot1":
		return []byte{}
	case logName + ".log1":
		return golden[:logHeaderBytes]
	default:
		return golden
	}
}

// writeGoldenFiles writes the files of a disk as golden files, unless their folder exists.
func writeGoldenFiles(disk *memdisk.Disk) {
	if _, err := os.Stat(goldenFolder); err == nil {
		return
	}
	Expect(os.MkdirAll(goldenFolder, 0o700)).To(Succeed())
	for _, name := range disk.Names() {
		data, err := disk.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(goldenFolder, name), data, 0o600)).To(Succeed())
	}
}

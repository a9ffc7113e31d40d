package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// faultyFile is a file in memory whose calls fail on request.
type faultyFile struct {
	content  []byte
	writeErr error
	// partialBytes is how much of a failing write gets through.
	partialBytes int
	syncErrs     []error
	truncateErr  error
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if f.writeErr == nil {
		f.content = append(f.content, data...)
		return len(data), nil
	}
	f.content = append(f.content, data[:f.partialBytes]...)
	return f.partialBytes, f.writeErr
}

func (f *faultyFile) Sync() error {
	if len(f.syncErrs) == 0 {
		return nil
	}
	err := f.syncErrs[0]
	f.syncErrs = f.syncErrs[1:]
	return err
}

func (f *faultyFile) Truncate(size int64) error {
	if f.truncateErr == nil {
		f.content = f.content[:size]
	}
	return f.truncateErr
}

func (f *faultyFile) Close() error { return nil }

var _ = Describe("A data folder", func() {
	var (
		folder string
		opened *Disk
	)

	BeforeEach(func() {
		folder = filepath.Join(GinkgoT().TempDir(), "not", "there", "yet")
		var err error
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = opened.Close() })
	})

	It("keeps files that are written, replaced and appended to", func() {
		_, err := opened.ReadFile("state")
		Expect(err).To(MatchError(fs.ErrNotExist))
		Expect(opened.Append("state", []byte("one"))).To(Succeed())
		Expect(opened.Append("state", []byte(" two"))).To(Succeed())
		Expect(opened.ReadFile("state")).To(Equal([]byte("one two")))
		Expect(opened.WriteFile("state", []byte("three"))).To(Succeed())
		Expect(opened.Append("state", []byte("."))).To(Succeed())
		Expect(opened.ReadFile("state")).To(Equal([]byte("three.")))
	})

	It("serves a store across restarts of the process", func() {
		store, _, err := twoslot.Open(opened, "shard")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Checkpoint([]byte("payload"))).To(Succeed())
		Expect(store.Append([]byte("record"))).To(Succeed())
		Expect(opened.Close()).To(Succeed())
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
		_, contents, err := twoslot.Open(opened, "shard")
		Expect(err).NotTo(HaveOccurred())
		Expect(contents).To(Equal(twoslot.Contents{Payload: []byte("payload"), Records: [][]byte{[]byte("record")}}))
	})

	It("belongs to one process at a time", func() {
		_, err := Open(folder)
		Expect(err).To(MatchError(&LockedError{Folder: folder}))
		Expect(opened.Close()).To(Succeed())
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is cleared of files that a crash left half written", func() {
		leftover := filepath.Join(folder, "state"+temporarySuffix)
		Expect(os.WriteFile(leftover, []byte("half"), fileMode)).To(Succeed())
		Expect(opened.Close()).To(Succeed())
		var err error
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(leftover).NotTo(BeAnExistingFile())
	})

	It("refuses names that leave it or clash with its own files", func() {
		for _, name := range []string{"", ".", "..", "../state", "a/b", "/state", lockName, "state.tmp"} {
			Expect(opened.WriteFile(name, nil)).To(MatchError(&NameError{Name: name}))
			Expect(opened.Append(name, nil)).To(MatchError(&NameError{Name: name}))
			_, err := opened.ReadFile(name)
			Expect(err).To(MatchError(&NameError{Name: name}))
		}
	})

	It("shortens a file in place, and reports one that is not there", func() {
		Expect(opened.WriteFile("state", []byte("former"))).To(Succeed())
		Expect(opened.Truncate("state", 4)).To(Succeed())
		Expect(opened.Append("state", []byte("."))).To(Succeed())
		Expect(opened.ReadFile("state")).To(Equal([]byte("form.")))
		Expect(opened.Truncate("none", 0)).To(MatchError(fs.ErrNotExist))
		Expect(opened.Truncate("../state", 0)).To(MatchError(&NameError{Name: "../state"}))
	})

	It("reports a full disk and leaves the file as it was", func() {
		// Linux answers writes to /dev/full that the disk is full; a link to
		// it as the temporary file makes the whole path fail for real.
		Expect(opened.WriteFile("state", []byte("former"))).To(Succeed())
		Expect(os.Symlink("/dev/full", filepath.Join(folder, "state"+temporarySuffix))).To(Succeed())
		Expect(opened.WriteFile("state", []byte("newer"))).To(MatchError(twoslot.ErrDiskFull))
		Expect(opened.ReadFile("state")).To(Equal([]byte("former")))
		Expect(opened.WriteFile("state", []byte("newer"))).To(Succeed())
	})
})

var _ = Describe("An append", func() {
	var target *faultyFile

	BeforeEach(func() {
		target = &faultyFile{content: []byte("former"), partialBytes: 2}
	})

	appendTo := func() error {
		return appendAndClose("log", target, int64(len("former")), []byte("newer"))
	}

	It("that does not fit is taken back and reported as such", func() {
		for _, full := range []error{unix.ENOSPC, unix.EDQUOT} {
			target.writeErr = &fs.PathError{Op: "write", Path: "log", Err: full}
			Expect(appendTo()).To(MatchError(twoslot.ErrDiskFull))
			Expect(target.content).To(Equal([]byte("former")))
		}
	})

	It("whose sync finds the disk full is taken back too", func() {
		target.syncErrs = []error{unix.ENOSPC}
		Expect(appendTo()).To(MatchError(twoslot.ErrDiskFull))
		Expect(target.content).To(Equal([]byte("former")))
	})

	It("that cannot be taken back is not reported as a full disk", func() {
		target.writeErr = unix.ENOSPC
		target.truncateErr = unix.EIO
		err := appendTo()
		Expect(err).To(MatchError(unix.EIO))
		Expect(errors.Is(err, twoslot.ErrDiskFull)).To(BeFalse())

		target.truncateErr = nil
		target.syncErrs = []error{unix.EIO}
		err = appendTo()
		Expect(err).To(MatchError(unix.EIO))
		Expect(errors.Is(err, twoslot.ErrDiskFull)).To(BeFalse())
	})

	It("that fails for another reason keeps its error", func() {
		target.syncErrs = []error{unix.EIO}
		err := appendTo()
		Expect(err).To(MatchError(unix.EIO))
		Expect(errors.Is(err, twoslot.ErrDiskFull)).To(BeFalse())
	})
})

package reload

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logged "github.com/sirupsen/logrus/hooks/test"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

func TestReload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reload")
}

// testTimeout limits every run of a watcher.
const testTimeout = 5 * time.Second

var _ = Describe("A Watcher", func() {
	var (
		path    string
		watcher *Watcher
		entries *logged.Hook
		// applied contains the node name of each settings that were applied.
		applied []string
		// applyErr, if not nil, is returned by Apply.
		applyErr error
		target   Target
	)
	began := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

	// write replaces the content of the file and sets its modification time.
	write := func(text string, at time.Time) {
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		Expect(os.Chtimes(path, at, at)).To(Succeed())
	}
	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		applied, applyErr = nil, nil
		logger, hook := logged.NewNullLogger()
		entries = hook
		target = Target{
			Read: func() (*static.Settings, error) { return static.Load(path) },
			Apply: func(settings *static.Settings) error {
				if applyErr != nil {
					return applyErr
				}
				applied = append(applied, settings.Node)
				return nil
			},
			Log: logger.WithField("component", "settings"),
		}
	})

	// start creates a watcher of the file and closes it when the spec ends.
	start := func() {
		watcher = NewWatcher(path)
		DeferCleanup(watcher.Close)
	}

	It("applies nothing while the file is unchanged", func() {
		write("node: a", began)
		start()
		watcher.poll(target)
		Expect(applied).To(BeEmpty())
	})

	DescribeTable("applies a changed file once", func(change func()) {
		write("node: a", began)
		start()
		change()
		watcher.poll(target)
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
		Expect(entries.AllEntries()).To(BeEmpty())
	},
		Entry("with a later modification time", func() { write("node: b", began.Add(time.Second)) }),
		Entry("with an earlier modification time", func() { write("node: b", began.Add(-time.Hour)) }),
		Entry("with another size", func() { write("node: b # changed", began) }),
		Entry("that replaced the old file, with the same modification time and size", func() {
			old := path
			path += ".new"
			write("node: b", began)
			Expect(os.Rename(path, old)).To(Succeed())
			path = old
		}),
	)

	// runUntilApplied runs the watcher until Apply has returned, or until testTimeout.
	runUntilApplied := func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		apply := target.Apply
		target.Apply = func(settings *static.Settings) error {
			defer cancel()
			return apply(settings)
		}
		watcher.Run(ctx, target)
	}

	It("applies, at a poll, a change that was made between NewWatcher and Run", func() {
		write("node: a", began)
		start()
		write("node: b", began.Add(time.Second))
		runUntilApplied()
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("applies the file on SIGHUP, which does not end the process", func() {
		write("node: a", began)
		start()
		write("node: b", began)
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		runUntilApplied()
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("applies the file on SIGHUP even if it seems unchanged", func() {
		write("node: a", began)
		start()
		write("node: b", began)
		watcher.poll(target)
		Expect(applied).To(BeEmpty(), "the identity, size and modification time are unchanged")
		watcher.reloadOnHangup(target)
		Expect(applied).To(Equal([]string{"b"}))
		watcher.reloadOnHangup(target)
		Expect(applied).To(Equal([]string{"b", "b"}))
	})

	It("does not apply again, at a poll, a change that was applied on SIGHUP", func() {
		write("node: a", began)
		start()
		write("node: b", began.Add(time.Second))
		watcher.reloadOnHangup(target)
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("keeps the settings in force while the file is missing, and applies it once it exists", func() {
		write("node: a", began)
		start()
		Expect(os.Remove(path)).To(Succeed())
		watcher.poll(target)
		Expect(applied).To(BeEmpty())
		Expect(entries.AllEntries()).To(BeEmpty())
		write("node: b", began.Add(time.Second))
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("applies a file that was created after NewWatcher", func() {
		start()
		write("node: b", began)
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("logs every fault of an invalid file in one entry, and applies the corrected file", func() {
		write("node: a", began)
		start()
		write("nodes: a\nlog_ring: many\n", began.Add(time.Second))
		watcher.poll(target)
		watcher.poll(target)
		Expect(applied).To(BeEmpty())
		Expect(entries.AllEntries()).To(HaveLen(1))
		entry := entries.LastEntry()
		Expect(entry.Level).To(Equal(logrus.ErrorLevel))
		Expect(entry.Data[logrus.ErrorKey]).To(MatchError(And(ContainSubstring("nodes:"), ContainSubstring("log_ring:"))))
		write("node: b", began.Add(2*time.Second))
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("logs the error of Apply once", func() {
		write("node: a", began)
		start()
		applyErr = errors.New("zone: is empty")
		write("node: b", began.Add(time.Second))
		watcher.poll(target)
		watcher.poll(target)
		Expect(applied).To(BeEmpty())
		Expect(entries.AllEntries()).To(HaveLen(1))
		Expect(entries.LastEntry().Data[logrus.ErrorKey]).To(MatchError(applyErr))
	})

	It("logs that the file is missing on SIGHUP", func() {
		start()
		watcher.reloadOnHangup(target)
		Expect(entries.AllEntries()).To(HaveLen(1))
		Expect(entries.LastEntry().Data[logrus.ErrorKey]).To(MatchError(ContainSubstring("name a readable settings file")))
	})

	It("returns from Run at once if the path is empty", func() {
		path = ""
		start()
		watcher.Run(context.Background(), target)
		Expect(applied).To(BeEmpty())
	})
})

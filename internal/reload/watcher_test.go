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

// testTimeout bounds every wait for a signal.
const testTimeout = 5 * time.Second

var _ = Describe("A watcher of settings", func() {
	var (
		path    string
		watcher *Watcher
		entries *logged.Hook
		// applied are the nodes' names in the settings that were handed over.
		applied []string
		// applyErr is what the node says of the next settings.
		applyErr error
		target   Target
	)
	began := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

	// write replaces the content of the file, as of a time.
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

	// start makes a watcher that follows the file until the spec ends.
	start := func() {
		watcher = NewWatcher(path)
		DeferCleanup(watcher.Close)
	}

	It("hands nothing over while the file stays as it was", func() {
		write("node: a", began)
		start()
		watcher.poll(target)
		Expect(applied).To(BeEmpty())
	})

	DescribeTable("hands a changed file over, once", func(change func()) {
		write("node: a", began)
		start()
		change()
		watcher.poll(target)
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
		Expect(entries.AllEntries()).To(BeEmpty())
	},
		Entry("of another time", func() { write("node: b", began.Add(time.Second)) }),
		Entry("of an earlier time", func() { write("node: b", began.Add(-time.Hour)) }),
		Entry("of another size", func() { write("node: b # changed", began) }),
		Entry("that took the place of the old one, of the same time and size", func() {
			old := path
			path += ".new"
			write("node: b", began)
			Expect(os.Rename(path, old)).To(Succeed())
			path = old
		}),
	)

	// runUntilApplied runs a watcher until the node takes settings.
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

	It("notices by the clock a change that came between its making and its start", func() {
		write("node: a", began)
		start()
		write("node: b", began.Add(time.Second))
		runUntilApplied()
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("takes the hangups of the process, which do not end it", func() {
		write("node: a", began)
		start()
		write("node: b", began)
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		runUntilApplied()
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("hands the file over at a hangup, changed or not", func() {
		write("node: a", began)
		start()
		write("node: b", began)
		watcher.poll(target)
		Expect(applied).To(BeEmpty(), "nothing tells the files apart")
		watcher.reloadOnHangup(target)
		Expect(applied).To(Equal([]string{"b"}))
		watcher.reloadOnHangup(target)
		Expect(applied).To(Equal([]string{"b", "b"}))
	})

	It("does not hand over again by the clock what a hangup has handed over", func() {
		write("node: a", began)
		start()
		write("node: b", began.Add(time.Second))
		watcher.reloadOnHangup(target)
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("keeps what is in force while there is no file, and takes the one that comes", func() {
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

	It("takes a file that was not there when it was made", func() {
		start()
		write("node: b", began)
		watcher.poll(target)
		Expect(applied).To(Equal([]string{"b"}))
	})

	It("names every fault of a file that cannot be read in one entry, and takes the corrected one", func() {
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

	It("logs what the node says of settings that it does not take, once", func() {
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

	It("reports a missing file at a hangup", func() {
		start()
		watcher.reloadOnHangup(target)
		Expect(entries.AllEntries()).To(HaveLen(1))
		Expect(entries.LastEntry().Data[logrus.ErrorKey]).To(MatchError(ContainSubstring("name a readable settings file")))
	})

	It("follows nothing without a file", func() {
		path = ""
		start()
		watcher.Run(context.Background(), target)
		Expect(applied).To(BeEmpty())
	})
})

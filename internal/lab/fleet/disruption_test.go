package fleet_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// newUnstartedFleet returns a fleet without running processes, and its folder.
func newUnstartedFleet(network *links.Network) (*fleet.Fleet, string) {
	folder := GinkgoT().TempDir()
	return fleet.New(fleet.Options{Topology: deployment("hivatal").Topology, Folder: folder, Network: network}), folder
}

// settingsOf reads the settings that a fleet starts a node with.
func settingsOf(running *fleet.Fleet, name string) *static.Settings {
	path, err := running.NodeSettings(name)
	Expect(err).NotTo(HaveOccurred())
	settings, err := static.Load(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(settings.Check()).To(BeEmpty())
	return settings
}

var _ = Describe("a machine", func() {
	It("changes its address, and nodes get the new addresses of seeds by name", func() {
		running, _ := newUnstartedFleet(nil)
		before := running.Topology()
		Expect(running.MoveNode("core-1", "127.1.1.91")).To(Succeed())
		Expect(settingsOf(running, "core-1").Internal).To(Equal("127.1.1.91:7100"))
		Expect(settingsOf(running, "core-2").Seeds).To(Equal([]string{"127.1.1.91:7100", "127.1.3.1:7100"}))
		Expect(running.MoveSeeds([]string{"front-9", "core-1"})).To(Succeed())
		Expect(settingsOf(running, "front-1").Seeds).To(Equal([]string{"127.1.4.12:7100", "127.1.1.91:7100"}))
		node, _ := before.Node("core-1")
		Expect(node.Address).To(Equal("127.1.1.1"), "a topology that was read before the move must not change")
	})

	It("does not move to an invalid or used address, and unknown seeds are refused", func() {
		running, _ := newUnstartedFleet(nil)
		Expect(running.MoveNode("core-1", "elsewhere")).NotTo(Succeed())
		Expect(running.MoveNode("core-1", "127.1.2.1")).To(MatchError(ContainSubstring("given twice")))
		Expect(running.MoveSeeds([]string{"missing"})).NotTo(Succeed())
		Expect(settingsOf(running, "core-1").Internal).To(Equal("127.1.1.1:7100"))
	})

	It("loses its disk only if it has one, and refuses process signals while its node is not running", func() {
		running, folder := newUnstartedFleet(nil)
		kept := filepath.Join(settingsOf(running, "core-1").DataFolder, "kept")
		Expect(filepath.Dir(kept)).To(Equal(running.DataFolder("core-1")))
		Expect(os.WriteFile(kept, nil, 0o600)).To(Succeed())
		Expect(running.LoseDisk("core-1")).To(Succeed())
		Expect(kept).NotTo(BeAnExistingFile())
		Expect(folder).To(BeADirectory())
		Expect(running.LoseDisk("front-1")).NotTo(Succeed())
		for _, act := range []func(string) error{running.FreezeNode, running.ThawNode, running.StopNode, running.KillNode} {
			Expect(act("core-1")).To(MatchError(ContainSubstring("does not run")))
		}
	})

	It("listens behind the relay and cannot move when a link network is used", func() {
		running, _ := newUnstartedFleet(links.NewNetwork())
		settings := settingsOf(running, "core-1")
		Expect(settings.Internal).To(Equal("127.1.1.1:7100"))
		Expect(settings.InternalListener()).To(Equal("127.1.1.1:7101"))
		Expect(running.MoveNode("core-1", "127.1.1.91")).NotTo(Succeed())
	})
})

var _ = Describe("a frozen process", func() {
	It("exits by itself after Terminate", func() {
		folder := GinkgoT().TempDir()
		script := filepath.Join(folder, "patient")
		Expect(os.WriteFile(script, []byte("#!/bin/sh\ntrap 'exit 0' TERM\nwhile :; do read line < \"$0.never\"; done\n"), 0o755)).To(Succeed())
		Expect(exec.Command("mkfifo", script+".never").Run()).To(Succeed())
		process, err := fleet.StartProcess(fleet.KindNode, "patient", folder, script)
		Expect(err).NotTo(HaveOccurred())
		process.Freeze()
		Expect(process.Terminate(20 * time.Second)).To(BeTrue())
	})
})

// endlessLoad is a load that returns the same job without end.
type endlessLoad struct{}

// Next implements caller.Load.
func (endlessLoad) Next() (caller.Job, bool) { return caller.Job{Service: "model"}, true }

// script is a script whose Run returns when the channel end is closed.
type script struct {
	fleet.Script
	end chan struct{}
}

// Run implements fleet.Script.
func (one *script) Run(context.Context) { <-one.end }

var _ = Describe("a load that runs with a script", func() {
	It("ends with the script", func() {
		one := &script{end: make(chan struct{})}
		ending, load := fleet.EndLoadWithScript(one, endlessLoad{})
		job, more := load.Next()
		Expect(more).To(BeTrue())
		Expect(job.Service).To(Equal("model"))
		close(one.end)
		ending.Run(context.Background())
		_, more = load.Next()
		Expect(more).To(BeFalse())
	})
})

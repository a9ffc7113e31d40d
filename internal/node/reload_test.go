package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logged "github.com/sirupsen/logrus/hooks/test"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/loopback"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// testTimeout limits every wait on a socket and for the end of the node.
const testTimeout = 10 * time.Second

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	address, err := loopback.Address("127.0.0.1")
	Expect(err).NotTo(HaveOccurred())
	return address
}

// listen listens on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// acceptOne accepts one connection, closes it, and sends the result to the channel.
func acceptOne(listener net.Listener) <-chan error {
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			err = connection.Close()
		}
		accepted <- err
	}()
	return accepted
}

var _ = Describe("Reload of a running node", func() {
	var (
		node    *Node
		entries *logged.Hook
		seed    string
		folder  string
	)

	// settings returns a copy of the node's settings with a change.
	settings := func(change func(s *static.Settings)) *static.Settings {
		changed := *node.settings
		change(&changed)
		return &changed
	}

	// run starts a node that has a disk and finds other nodes through seeds.
	run := func() {
		parsed, err := static.Parse(fmt.Appendf(nil, `{"node":"n1","zone":"a","data_folder":%q,"seeds":[%q],"internal":%q,
"traffic":%q,"control":%q,"platform_address":%q,"drain_timeout_ms":100}`, folder, seed, freeAddress(), freeAddress(), freeAddress(), freeAddress()))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Check()).To(BeEmpty())
		logger, hook := logged.NewNullLogger()
		entries = hook
		node, err = New(parsed, Edges{}, logger.WithField("node", "n1"))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- node.Run(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended, testTimeout).Should(Receive(Succeed()))
		})
	}

	BeforeEach(func() {
		seed = freeAddress()
		folder = filepath.Join(GinkgoT().TempDir(), "data")
	})

	It("applies changed seeds and a changed log level", func() {
		run()
		next := settings(func(s *static.Settings) { s.Seeds, s.LogLevel = []string{freeAddress()}, "debug" })
		Expect(node.Reload(next)).To(Succeed())
		Expect(node.seeds).To(Equal(next.Seeds))
		Expect(node.log.Logger.GetLevel()).To(Equal(logrus.DebugLevel))
	})

	It("logs the names of changed settings that need a restart, and does not apply them", func() {
		run()
		Expect(node.Reload(settings(func(s *static.Settings) { s.Zone, s.LogRing = "b", 7 }))).To(Succeed())
		Expect(entries.AllEntries()).To(ContainElement(HaveField("Data", HaveKeyWithValue("settings", []string{"log_ring", "zone"}))))
		Expect(node.settings.Zone).To(Equal("a"))
	})

	It("changes nothing if the settings are invalid, and returns every fault", func() {
		run()
		seeds, level := node.seeds, node.log.Logger.GetLevel()
		err := node.Reload(settings(func(s *static.Settings) {
			s.Seeds, s.LogLevel, s.Zone, s.LogRing = []string{"nowhere"}, "debug", "", -1
		}))
		Expect(err).To(MatchError(And(ContainSubstring("seeds[0]:"), ContainSubstring("zone:"), ContainSubstring("log_ring:"))))
		Expect(node.seeds).To(Equal(seeds))
		Expect(node.log.Logger.GetLevel()).To(Equal(level))
	})

	It("still uses the stored addresses of other nodes after a change of the seeds", func() {
		run()
		known := listen()
		DeferCleanup(known.Close)
		addresses, err := json.Marshal([]string{known.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		Expect(node.storage.disk.WriteFile(addressesFile, addresses)).To(Succeed())
		connected := acceptOne(known)
		Expect(node.Reload(settings(func(s *static.Settings) { s.Seeds = []string{freeAddress()} }))).To(Succeed())
		Eventually(connected, testTimeout).Should(Receive(Succeed()))
	})
})

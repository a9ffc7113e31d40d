package node

import (
	"os"
	"path/filepath"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var _ = Describe("A data folder of a node that finds other nodes through seeds", func() {
	seeds := []string{"127.1.3.1:7100", "127.1.1.1:7100", "127.1.2.1:7100"}
	var settings *static.Settings

	BeforeEach(func() {
		settings = &static.Settings{
			Node:          "core-1",
			Internal:      "127.1.1.1:7100",
			Seeds:         seeds,
			Founding:      true,
			DataFolder:    filepath.Join(GinkgoT().TempDir(), "data"),
			ServiceShards: 1,
		}
	})

	// foundersAtStart opens the folder as at the start of a node, and returns the founders.
	foundersAtStart := func() []string {
		opened, err := openStorage(settings)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		defer opened.close()
		config := controlConfig(settings, opened)
		var group []string
		for _, id := range config.Group {
			group = append(group, string(id))
		}
		Expect(config.Seeded).To(BeTrue())
		Expect(string(config.Self.ID)).To(Equal(settings.Internal))
		return group
	}

	It("stores the founders at the first start, sorted, and keeps them at later starts", func() {
		founders := slices.Sorted(slices.Values(seeds))
		Expect(foundersAtStart()).To(Equal(founders))
		Expect(incarnationAtStart(settings)).To(Equal(uint64(replication.FoundingIncarnation)))
		settings.Founding = false
		settings.Seeds = []string{"127.1.9.1:7100"}
		Expect(foundersAtStart()).To(Equal(founders))
		Expect(incarnationAtStart(settings)).To(Equal(uint64(replication.FoundingIncarnation)))
	})

	DescribeTable("has no founders and gets a random incarnation", func(change func()) {
		change()
		Expect(foundersAtStart()).To(BeEmpty())
		incarnation := incarnationAtStart(settings)
		Expect(incarnation).NotTo(Equal(uint64(replication.FoundingIncarnation)))
		settings.Founding = true
		settings.Seeds = seeds
		Expect(foundersAtStart()).To(BeEmpty(), "a folder in use must not form groups")
		Expect(incarnationAtStart(settings)).To(Equal(incarnation))
	},
		Entry("if founding is not set", func() { settings.Founding = false }),
		Entry("if the node is not one of the seeds", func() { settings.Seeds = seeds[:1] }),
	)

	It("does not form groups after a loss of shard files, even if founding is still set", func() {
		Expect(foundersAtStart()).NotTo(BeEmpty())
		By("removing the files of a shard")
		files, err := filepath.Glob(filepath.Join(settings.DataFolder, "shard-001*"))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			Expect(os.Remove(file)).To(Succeed())
		}
		Expect(foundersAtStart()).To(BeEmpty())
		Expect(incarnationAtStart(settings)).NotTo(Equal(uint64(replication.FoundingIncarnation)))
	})

	It("does not form groups in a folder that has files but no identity", func() {
		Expect(os.MkdirAll(settings.DataFolder, 0o700)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(settings.DataFolder, "shard-000.slot0"), nil, 0o600)).To(Succeed())
		opened, err := openStorage(settings)
		if err == nil {
			defer opened.close()
			Expect(opened.founders).To(BeEmpty())
		}
	})

	It("is not initialised by Initialise, and is refused if the node has another address", func() {
		Expect(Initialise(settings)).To(MatchError(ContainSubstring("set founding")))
		Expect(foundersAtStart()).NotTo(BeEmpty())
		settings.Internal = "127.1.4.1:7100"
		_, err := openStorage(settings)
		Expect(err).To(BeAssignableToTypeOf(&ForeignDataError{}))
	})
})

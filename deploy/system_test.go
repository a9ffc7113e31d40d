// Package deploy_test checks the deploy file.
package deploy_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
)

func TestDeploy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deploy suite")
}

// deployFile is what the test needs of system.toml.
type deployFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

var _ = Describe("the system packages of the deploy file", func() {
	var file deployFile

	BeforeEach(func() {
		text, err := os.ReadFile("system.toml")
		Expect(err).NotTo(HaveOccurred())
		file = deployFile{}
		Expect(toml.Unmarshal(text, &file)).To(Succeed())
	})

	It("hold a C compiler and the C library where the build links externally", func() {
		Expect(file.Build).To(ContainSubstring("-linkmode=external"))
		Expect(file.Packages).To(ContainElements("gcc", "libc6-dev"))
	})

	It("are those that the README names among its requirements", func() {
		text, err := os.ReadFile("../README.md")
		Expect(err).NotTo(HaveOccurred())
		_, rest, found := strings.Cut(string(text), "## Requirements")
		Expect(found).To(BeTrue())
		requirements, _, _ := strings.Cut(rest, "\n## ")
		for _, name := range file.Packages {
			Expect(requirements).To(ContainSubstring("`" + name + "`"))
		}
		Expect(strings.Count(requirements, "`")).To(Equal(2 * len(file.Packages)))
	})
})

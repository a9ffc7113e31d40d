// Package days_test checks the days of trouble in this folder.
package days_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/lo"
)

func TestDays(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "days suite")
}

// lastStrikeS is the latest second of a day at which anything may begin.
const lastStrikeS = 30

// trouble is one entry of a day. Kinds have further fields of their own.
type trouble struct {
	At   float64 `toml:"at"`
	Kind string  `toml:"kind"`
}

// day is what the test needs of a day.
type day struct {
	Name   string    `toml:"name"`
	Seed   uint64    `toml:"seed"`
	Plan   []trouble `toml:"plan"`
	Faults []trouble `toml:"faults"`
}

// troubles returns planned work and faults together.
func (d day) troubles() []trouble {
	return append(append([]trouble{}, d.Plan...), d.Faults...)
}

// readDays reads every file of this folder by its name.
func readDays() map[string]day {
	paths, err := filepath.Glob("*.toml")
	Expect(err).NotTo(HaveOccurred())
	Expect(paths).NotTo(BeEmpty())
	days := map[string]day{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		var file struct {
			Days []day `toml:"day"`
		}
		Expect(toml.Unmarshal(text, &file)).To(Succeed(), path)
		Expect(file.Days).To(HaveLen(1), path)
		days[strings.TrimSuffix(path, ".toml")] = file.Days[0]
	}
	return days
}

// readKinds reads the kinds that the days have to cover.
func readKinds() []string {
	text, err := os.ReadFile("kinds.txt")
	Expect(err).NotTo(HaveOccurred())
	return lo.Filter(strings.Split(string(text), "\n"), func(line string, _ int) bool {
		return line != "" && !strings.HasPrefix(line, "#")
	})
}

// strikes counts how often a day brings a kind.
func strikes(played day, kind string) int {
	return lo.CountBy(played.troubles(), func(entry trouble) bool { return entry.Kind == kind })
}

var _ = Describe("The days of this folder", func() {
	It("are named as their files, and seeded", func() {
		for name, played := range readDays() {
			Expect(played.Name).To(Equal(name))
			Expect(played.Seed).NotTo(BeZero(), name)
		}
	})

	It("bring only known kinds, while traffic lasts", func() {
		kinds := readKinds()
		for name, played := range readDays() {
			for _, entry := range played.troubles() {
				Expect(kinds).To(ContainElement(entry.Kind), name)
				Expect(entry.At).To(And(BeNumerically(">", 0), BeNumerically("<", lastStrikeS)), name)
			}
		}
	})

	It("let every kind strike twice on a day of its own", func() {
		days := readDays()
		for _, kind := range readKinds() {
			name := "twice-" + strings.ReplaceAll(kind, "_", "-")
			Expect(days).To(HaveKey(name))
			Expect(strikes(days[name], kind)).To(BeNumerically(">=", 2), name)
		}
	})

	It("let at least a dozen times two kinds meet", func() {
		pairs := lo.PickBy(readDays(), func(name string, _ day) bool { return strings.HasPrefix(name, "pair-") })
		Expect(len(pairs)).To(BeNumerically(">=", 12))
	})
})

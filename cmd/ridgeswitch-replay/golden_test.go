package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ridgeswitch-replay")
}

// golden returns a golden file. All of them were written by an earlier release: the
// recording by "generate", the others from it by the commands of the specs.
func golden(name string) string {
	data, err := os.ReadFile(filepath.Join("testdata", name))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// output runs a command line and returns what it prints.
func output(arguments ...string) string {
	application := newApplication()
	var printed bytes.Buffer
	application.Writer = &printed
	Expect(application.Run(GinkgoT().Context(), append([]string{application.Name}, arguments...))).To(Succeed())
	return printed.String()
}

var _ = Describe("A recording of an earlier release", func() {
	const recording = "testdata/day.jsonl"

	DescribeTable("gives the same report", func(name string, command ...string) {
		path := filepath.Join(GinkgoT().TempDir(), "report.json")
		Expect(output(append(command, "--records", recording, "--report", path)...)).To(Equal(golden(name + ".txt")))
		report, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(report)).To(Equal(golden(name + ".json")))
	},
		Entry("replayed on the emulator", "emulated", "run", "--emulator", "--replicas", "4"),
		Entry("as it was", "recorded", "summarize"),
	)

	It("is generated to the last byte, and its reports compare as before", func() {
		path := filepath.Join(GinkgoT().TempDir(), "day.jsonl")
		output("generate", "--out", path, "--requests", "30", "--length", "5m",
			"--configuration", "../../deploy/hivatal/configuration.json")
		generated, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(generated)).To(Equal(golden("day.jsonl")))
		Expect(output("compare", "testdata/recorded.json", "testdata/emulated.json")).To(Equal(golden("compared.txt")))
	})
})

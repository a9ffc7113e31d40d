package static_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// The golden results were made by an earlier release, and are never made anew: a file
// of settings has to lead to the same ones. The result of a new file is added by one
// run with writeGolden set.
const (
	goldenFolder = "testdata/golden"
	writeGolden  = "RIDGESWITCH_WRITE_GOLDEN"
)

// goldenResult is what became of a file. Its keys are those of the golden results.
type goldenResult struct {
	// Settings are those with defaults, line by line in the form of a file.
	Settings    []string      `json:"settings,omitempty"`
	ParseFaults []goldenFault `json:"parse_faults,omitempty"`
	Faults      []goldenFault `json:"faults,omitempty"`
}

type goldenFault struct {
	Kind    string `json:"kind"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

func goldenFaults(errs ...error) []goldenFault {
	var faults []goldenFault
	for _, err := range errs {
		var fault *static.Error
		Expect(errors.As(err, &fault)).To(BeTrue())
		faults = append(faults, goldenFault{Kind: string(fault.Kind), Field: fault.Field, Message: fault.Message})
	}
	return faults
}

func resultOf(path string) goldenResult {
	settings, err := static.Load(path)
	if err != nil {
		var list static.Errors
		Expect(errors.As(err, &list)).To(BeTrue())
		return goldenResult{ParseFaults: goldenFaults(list.Unwrap()...)}
	}
	text, err := yaml.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	return goldenResult{
		Settings: strings.Split(strings.TrimSpace(string(text)), "\n"),
		Faults:   goldenFaults(settings.Check()...),
	}
}

var _ = Describe("Settings of an earlier release", func() {
	files, err := filepath.Glob(filepath.Join(goldenFolder, "*.yaml"))
	if err != nil || len(files) == 0 {
		panic("no golden settings")
	}
	for _, path := range files {
		It("lead to the same result: "+filepath.Base(path), func() {
			data, err := json.MarshalIndent(resultOf(path), "", "  ")
			Expect(err).NotTo(HaveOccurred())
			data = append(data, '\n')
			golden := strings.TrimSuffix(path, ".yaml") + ".result"
			if _, err := os.Stat(golden); os.IsNotExist(err) && os.Getenv(writeGolden) != "" {
				Expect(os.WriteFile(golden, data, 0o600)).To(Succeed())
			}
			expected, err := os.ReadFile(golden)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data)).To(Equal(string(expected)))
		})
	}
})

package docs_test

import (
	"io/fs"
	"os"
	"path"
	"regexp"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exclusion is a comment that excludes a place from a linter, with its reason.
var exclusion = regexp.MustCompile(`(?m)//nolint:[a-z,]+ // \S+`)

// anyExclusion is such a comment, with or without what it needs.
var anyExclusion = regexp.MustCompile(`(?m)//\s*nolint`)

// countExclusions counts the comments in the Go files of a folder, and those that name
// their linter and their reason.
func countExclusions(folder fs.FS) (all, reasoned int, err error) {
	err = fs.WalkDir(folder, ".", func(found string, _ fs.DirEntry, err error) error {
		if err != nil || path.Ext(found) != ".go" || strings.HasPrefix(found, "docs/") {
			return err
		}
		content, err := fs.ReadFile(folder, found)
		all += len(anyExclusion.FindAll(content, -1))
		reasoned += len(exclusion.FindAll(content, -1))
		return err
	})
	return all, reasoned, err
}

var _ = Describe("The linter's exclusions", func() {
	It("are as many as its configuration says, each with a reason", func() {
		configuration, err := os.ReadFile(repository + "/.golangci.yml")
		Expect(err).NotTo(HaveOccurred())
		stated := regexp.MustCompile(`nolint comments: (\d+)`).FindSubmatch(configuration)
		Expect(stated).NotTo(BeNil())
		all, reasoned, err := countExclusions(os.DirFS(repository))
		Expect(err).NotTo(HaveOccurred())
		Expect(strconv.Itoa(all)).To(Equal(string(stated[1])))
		Expect(reasoned).To(Equal(all))
	})
})

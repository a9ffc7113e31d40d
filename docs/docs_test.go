// Package docs_test checks that the files, Go identifiers, settings, flags and pages
// which the documentation names exist.
package docs_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "documentation")
}

// repository is the root, seen from this folder.
const repository = ".."

var _ = Describe("The documentation", Ordered, ContinueOnFailure, func() {
	var (
		pages   []page
		sources *index
	)

	BeforeAll(func() {
		var err error
		pages, err = readPages(repository)
		Expect(err).NotTo(HaveOccurred())
		sources, err = indexSources(repository)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is all read", func() {
		var paths []string
		for _, page := range pages {
			paths = append(paths, page.path)
		}
		Expect(paths).To(ContainElements("README.md", "docs/GLOSSARY.md", "docs/design/control.md"))
	})

	It("names files, identifiers, settings and flags that exist", func() {
		var missing []string
		for _, page := range pages {
			missing = append(missing, page.missingNames(sources, exceptions)...)
		}
		Expect(strings.Join(missing, "\n")).To(BeEmpty())
	})

	It("quotes specs and log lines as they are, where it tells what is proved and how to operate", func() {
		var missing []string
		for _, page := range pages {
			if page.path == "docs/PROOFS.md" || strings.HasPrefix(page.path, "docs/incidents/") || strings.HasPrefix(page.path, "docs/operations/") {
				missing = append(missing, page.missingTexts(sources)...)
			}
		}
		Expect(strings.Join(missing, "\n")).To(BeEmpty())
	})

	It("names identifiers in the file in which they are declared", func() {
		var misplaced []string
		for _, page := range pages {
			misplaced = append(misplaced, page.misplacedNames(sources)...)
		}
		Expect(strings.Join(misplaced, "\n")).To(BeEmpty())
	})

	It("links to pages and headings that exist", func() {
		var broken []string
		for _, page := range pages {
			broken = append(broken, page.brokenLinks(pages, sources)...)
		}
		Expect(strings.Join(broken, "\n")).To(BeEmpty())
	})

	It("needs every exception", func() {
		Expect(unneededExceptions(pages, sources, exceptions)).To(BeEmpty())
	})

	It("is checked against as few exceptions as there are now", func() {
		Expect(len(exceptions)).To(BeNumerically("<=", maxExceptions))
	})
})

var _ = Describe("The check of names", func() {
	sources := newIndex()
	sources.addFile("pkg/lease/lease.go")
	sources.addFile("docs/ROADMAP.md")
	sources.addFile("pkg/docs/lease.go")
	Expect(sources.addGo("pkg/lease/lease.go", `package lease

import "net/http"

// Holder has the lease.
type Holder struct {
	Term uint64 `+"`yaml:\"lease_term\"`"+`
	http.Server
}

// Renew renews.
func (h *Holder) Renew() string { return "--max-wait" }

const maxTerm = 3
`)).To(Succeed())

	check := func(text string) []string {
		return newPage("docs/page.md", text).missingNames(sources, map[string]string{"Elsewhere": "a word of others"})
	}

	DescribeTable("accepts", func(text string) {
		Expect(check(text)).To(BeEmpty())
	},
		Entry("a file", "`pkg/lease/lease.go`"),
		Entry("a folder", "`pkg/lease`, `pkg/lease/`"),
		Entry("a file without its folder", "`lease.go`"),
		Entry("the end of a path", "`lease/lease.go`"),
		Entry("an identifier of a package", "`lease.Holder`"),
		Entry("a member", "`lease.Holder.Renew`, `Holder.Term`, `Holder.Renew()`"),
		Entry("an identifier alone", "`Holder`, `maxTerm`"),
		Entry("a setting and its flag", "`lease_term`, `--lease-term`"),
		Entry("a flag in a string", "`--max-wait`"),
		Entry("an identifier of an imported package", "`http.Server`"),
		Entry("a command with a path", "`go test ./pkg/lease -v`"),
		Entry("an exception", "`Elsewhere`"),
		Entry("what stands in an example", "```\n`pkg/gone`\n```\n\n    `pkg/gone`\n"),
	)

	DescribeTable("finds", func(text string) {
		Expect(check(text)).To(HaveLen(1))
	},
		Entry("a file that is gone", "`pkg/lease/gone.go`"),
		Entry("a folder that is gone", "`pkg/gone`"),
		Entry("a file without its folder that is gone", "`gone.go`"),
		Entry("a path with other folders", "`pkg/other/lease.go`"),
		Entry("a path that exists below another folder only", "`docs/lease.go`"),
		Entry("an identifier that its package lacks", "`lease.Owner`"),
		Entry("a member that its type lacks", "`lease.Holder.Expire`"),
		Entry("a member that a type without its package lacks", "`Holder.Expire`"),
		Entry("a type that doesn't exist", "`Owner.Renew`"),
		Entry("an identifier alone", "`minTerm`"),
		Entry("a capital word", "`Owner`"),
		Entry("a package that doesn't exist", "`leases.Holder`"),
		Entry("a setting", "`lease_terms`"),
		Entry("a flag", "`--min-wait`"),
		Entry("a path in a command", "`go test ./pkg/gone`"),
	)

	It("finds an identifier that is declared in another file", func() {
		sources.addFile("pkg/lease/other.go")
		Expect(newPage("docs/page.md", "`maxTerm` in `pkg/lease/lease.go`").misplacedNames(sources)).To(BeEmpty())
		Expect(newPage("docs/page.md", "`maxTerm` in `pkg/lease/other.go`").misplacedNames(sources)).To(HaveLen(1))
	})

	It("finds texts that no Go file spells out", func() {
		Expect(sources.addGo("pkg/lease/lease_test.go", "package lease\nvar spec = \"renews a lease \" + \"before it ends\"")).To(Succeed())
		Expect(newPage("docs/page.md", "`lease` \"renews a lease\nbefore it ends\"").missingTexts(sources)).To(BeEmpty())
		Expect(newPage("docs/page.md", "\"short\", \"renews a lease after it ended\"").missingTexts(sources)).To(HaveLen(1))
	})

	It("finds links to nothing", func() {
		pages := []page{
			newPage("docs/page.md", "[a](ROADMAP.md) [b](ROADMAP.md#what-is-left) [c](gone.md) [d](ROADMAP.md#gone) [e](https://example.org/)"),
			newPage("docs/ROADMAP.md", "# Road map\n\n## What is left\n"),
		}
		Expect(pages[0].brokenLinks(pages, sources)).To(ConsistOf("docs/page.md: gone.md", "docs/page.md: ROADMAP.md#gone"))
	})

	It("finds exceptions that no page needs", func() {
		pages := []page{newPage("docs/page.md", "`Elsewhere`, `Holder`")}
		found := unneededExceptions(pages, sources, map[string]string{"Elsewhere": "", "Holder": "", "Absent": ""})
		Expect(found).To(ConsistOf("Holder", "Absent"))
	})
})

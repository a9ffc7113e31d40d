package docs_test

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// page is one page of the documentation.
type page struct {
	// path is seen from the root of the repository, with slashes.
	path string
	// prose is the text without examples.
	prose string
}

var (
	// fenced is an example between fences.
	fenced = regexp.MustCompile("(?ms)^\\s*```.*?^\\s*```\\s*$")
	// indented is an example that is indented, after an empty line.
	indented = regexp.MustCompile(`(?m)(?:\A|\n)\n((?:(?:    |\t).*\n?)+)`)
	// quoted is a word in the style of code.
	quoted = regexp.MustCompile("`([^`\n]+(?:\n[^`\n]+)?)`")
	// inFile says in which file an identifier is declared.
	inFile = regexp.MustCompile("`([A-Za-z_][\\w.]*)`\\s+in\\s+`([\\w./-]+\\.go)`")
	// text is that of a spec or a log line, between quotation marks.
	text = regexp.MustCompile(`"([^"]*)"`)
	// paragraphEnd is where text between quotation marks ends at the latest.
	paragraphEnd = regexp.MustCompile(`\n\s*\n|\|`)
	// link is a link to another page.
	link = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	// heading is a heading of any level.
	heading = regexp.MustCompile(`(?m)^#+ +(.+?) *$`)
	// notInAnchor are the signs that an anchor leaves out.
	notInAnchor = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

func newPage(path, content string) page {
	prose := fenced.ReplaceAllString(content, "")
	prose = indented.ReplaceAllString(prose, "\n\n")
	return page{path: path, prose: prose}
}

// readPages reads the README and all pages below docs.
func readPages(root string) ([]page, error) {
	paths := []string{"README.md"}
	err := fs.WalkDir(os.DirFS(root), "docs", func(found string, _ fs.DirEntry, err error) error {
		if path.Ext(found) == ".md" {
			paths = append(paths, found)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	var pages []page
	for _, found := range paths {
		text, err := os.ReadFile(filepath.Join(root, found))
		if err != nil {
			return nil, err
		}
		pages = append(pages, newPage(found, string(text)))
	}
	return pages, nil
}

// names returns the words in the style of code.
func (p page) names() []string {
	var names []string
	for _, found := range quoted.FindAllStringSubmatch(p.prose, -1) {
		names = append(names, strings.Join(strings.Fields(found[1]), " "))
	}
	return names
}

// missingNames lists the names that the sources lack.
func (p page) missingNames(sources *index, exceptions map[string]string) []string {
	var missing []string
	for _, name := range p.names() {
		if _, excepted := exceptions[name]; !excepted && !sources.has(name) {
			missing = append(missing, p.path+": "+name)
		}
	}
	return missing
}

// wordsOfText is how many words a quotation has at least to be taken for that of a spec
// or a log line.
const wordsOfText = 4

// missingTexts lists the quoted texts that no Go file spells out.
func (p page) missingTexts(sources *index) []string {
	var missing []string
	for _, paragraph := range paragraphEnd.Split(quoted.ReplaceAllString(p.prose, "`"), -1) {
		for _, found := range text.FindAllStringSubmatch(paragraph, -1) {
			quotation := strings.Join(strings.Fields(found[1]), " ")
			if len(strings.Fields(quotation)) >= wordsOfText && !strings.Contains(quotation, "`") &&
				!p.hasRow(quotation) && !sources.hasText(quotation) {
				missing = append(missing, p.path+": "+quotation)
			}
		}
	}
	return missing
}

// hasRow tells whether a row of a table in the page begins with a text.
func (p page) hasRow(text string) bool {
	return strings.Contains(p.prose, "\n| "+text)
}

// misplacedNames lists the identifiers that the page looks for in another file than
// the one that declares them.
func (p page) misplacedNames(sources *index) []string {
	var misplaced []string
	for _, found := range inFile.FindAllStringSubmatch(p.prose, -1) {
		name := found[1][strings.LastIndex(found[1], ".")+1:]
		if !sources.declares(found[2], name) {
			misplaced = append(misplaced, p.path+": "+name+" in "+found[2])
		}
	}
	return misplaced
}

// brokenLinks lists the links within the repository that lead nowhere.
func (p page) brokenLinks(pages []page, sources *index) []string {
	var broken []string
	for _, found := range link.FindAllStringSubmatch(p.prose, -1) {
		target, anchor, _ := strings.Cut(found[1], "#")
		if strings.Contains(target, "://") {
			continue
		}
		linked := p.path
		if target != "" {
			linked = path.Join(path.Dir(p.path), target)
		}
		if !sources.hasPath(linked) || anchor != "" && !hasAnchor(pages, linked, anchor) {
			broken = append(broken, p.path+": "+found[1])
		}
	}
	return broken
}

// hasAnchor tells whether a page has a heading with an anchor.
func hasAnchor(pages []page, path, anchor string) bool {
	return slices.ContainsFunc(pages, func(page page) bool {
		return page.path == path && slices.ContainsFunc(heading.FindAllStringSubmatch(page.prose, -1), func(found []string) bool {
			return anchorOf(found[1]) == anchor
		})
	})
}

func anchorOf(heading string) string {
	return strings.ReplaceAll(notInAnchor.ReplaceAllString(strings.ToLower(heading), ""), " ", "-")
}

// unneededExceptions lists the exceptions that no page names, or that exist.
func unneededExceptions(pages []page, sources *index, exceptions map[string]string) []string {
	var unneeded []string
	for name := range exceptions {
		named := slices.ContainsFunc(pages, func(page page) bool { return slices.Contains(page.names(), name) })
		if !named || sources.has(name) {
			unneeded = append(unneeded, name)
		}
	}
	slices.Sort(unneeded)
	return unneeded
}

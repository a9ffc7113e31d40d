package relaytree_test

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// alwaysChanged is a section that every revision changes.
const alwaysChanged = "revision"

// referenceModel stores all published states, as a history of each section.
type referenceModel struct {
	histories    map[string][]version
	changed      map[uint64][]string
	sectionNames int
}

// version is the content that a section has since a revision; empty if it was removed.
type version struct {
	revision uint64
	content  string
}

func newReferenceModel() referenceModel {
	return referenceModel{histories: map[string][]version{}, changed: map[uint64][]string{}, sectionNames: 12}
}

// change adds, changes and removes a few sections. Some of them get a content that they had
// before.
func (m *referenceModel) change(random *rand.Rand, revision uint64) {
	m.set(alwaysChanged, revision, fmt.Sprint(revision))
	for range random.IntN(3) {
		name := fmt.Sprintf("section-%03d", random.IntN(m.sectionNames))
		m.set(name, revision, []string{"", "one", "two", fmt.Sprint(revision)}[random.IntN(4)])
	}
}

func (m *referenceModel) set(name string, revision uint64, content string) {
	m.histories[name] = append(m.histories[name], version{revision: revision, content: content})
	m.changed[revision] = append(m.changed[revision], name)
}

// at returns the content of a section at a revision; empty if there is none.
func (m *referenceModel) at(name string, revision uint64) string {
	history := m.histories[name]
	firstLater := sort.Search(len(history), func(i int) bool { return history[i].revision > revision })
	if firstLater == 0 {
		return ""
	}
	return history[firstLater-1].content
}

// sections returns the newest state, in no particular order.
func (m *referenceModel) sections() []relaytree.Section {
	var sections []relaytree.Section
	for name, history := range m.histories {
		if content := history[len(history)-1].content; content != "" {
			sections = append(sections, relaytree.Section{Name: name, Content: []byte(content)})
		}
	}
	return sections
}

// mismatch returns the name of a section that differs, after an update, from the published
// state of that revision, or "" if there is none. It checks only the sections that the
// update lists and those that were published as changed since the revision before, at which
// the model must have been correct.
func (m *referenceModel) mismatch(model map[string]string, before uint64, update relaytree.Update) string {
	candidates := append([]string{}, update.Removed...)
	for _, section := range update.Sections {
		candidates = append(candidates, section.Name)
	}
	for revision := before + 1; revision <= update.Revision; revision++ {
		candidates = append(candidates, m.changed[revision]...)
	}
	for _, name := range candidates {
		if model[name] != m.at(name, update.Revision) {
			return name
		}
	}
	return ""
}

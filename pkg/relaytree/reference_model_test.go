package relaytree_test

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// alwaysChanged is a section that every revision changes.
const alwaysChanged = "revision"

// referenceModel is every state that was published, as the history of each section.
type referenceModel struct {
	histories map[string][]version
	changed   map[uint64][]string
	names     int
}

// version is the content of a section from a revision on; empty if removed.
type version struct {
	revision uint64
	content  string
}

func newReferenceModel() referenceModel {
	return referenceModel{histories: map[string][]version{}, changed: map[uint64][]string{}, names: 12}
}

// change adds, changes and removes a few sections, and sometimes gives one back
// a content that it had before.
func (t *referenceModel) change(random *rand.Rand, revision uint64) {
	t.set(alwaysChanged, revision, fmt.Sprint(revision))
	for range random.IntN(3) {
		name := fmt.Sprintf("section-%03d", random.IntN(t.names))
		t.set(name, revision, []string{"", "one", "two", fmt.Sprint(revision)}[random.IntN(4)])
	}
}

func (t *referenceModel) set(name string, revision uint64, content string) {
	t.histories[name] = append(t.histories[name], version{revision: revision, content: content})
	t.changed[revision] = append(t.changed[revision], name)
}

// at is the content of a section at a revision; empty if there is none.
func (t *referenceModel) at(name string, revision uint64) string {
	history := t.histories[name]
	later := sort.Search(len(history), func(i int) bool { return history[i].revision > revision })
	if later == 0 {
		return ""
	}
	return history[later-1].content
}

// sections is the newest state.
func (t *referenceModel) sections() []relaytree.Section {
	var sections []relaytree.Section
	for name, history := range t.histories {
		if content := history[len(history)-1].content; content != "" {
			sections = append(sections, relaytree.Section{Name: name, Content: []byte(content)})
		}
	}
	return sections
}

// mismatch names a section that differs after an update from what was published. The
// model was correct at the revision before the update.
func (t *referenceModel) mismatch(model map[string]string, before uint64, update relaytree.Update) string {
	suspects := append([]string{}, update.Removed...)
	for _, section := range update.Sections {
		suspects = append(suspects, section.Name)
	}
	for revision := before + 1; revision <= update.Revision; revision++ {
		suspects = append(suspects, t.changed[revision]...)
	}
	for _, name := range suspects {
		if model[name] != t.at(name, update.Revision) {
			return name
		}
	}
	return ""
}

package static

import (
	"reflect"
	"slices"
)

// reloaded are the settings that are applied while a node runs, and founding, which has
// no effect then.
var reloaded = []string{"seeds", "log_level", "founding"}

// NeedRestart returns the names of the settings that differ in other and that take
// effect only at the next start of a node.
func (s *Settings) NeedRestart(other *Settings) []string {
	var changed []string
	present, next := s.fields(), other.fields()
	for name, value := range present {
		if !slices.Contains(reloaded, name) && !reflect.DeepEqual(value, next[name]) {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

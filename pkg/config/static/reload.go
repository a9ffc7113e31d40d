package static

import (
	"reflect"
	"slices"
)

// reloaded are the settings whose change needs no restart: seeds and log_level are applied
// while a node runs, and founding has no effect then.
var reloaded = []string{"seeds", "log_level", "founding"}

// NeedRestart returns the sorted names of the settings that differ in other and that take
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

package static

import (
	"reflect"
	"slices"
)

// reloaded are the settings that are taken over while a node runs, and founding,
// which no longer matters then.
var reloaded = []string{"seeds", "log_level", "founding"}

// NeedRestart names the settings in which others differ and that take effect at
// the next start of a node only.
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

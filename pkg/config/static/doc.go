// Package static reads and checks the settings of one process: its name, addresses,
// failure domain, data folder and durations. They come from a YAML or JSON file, and from
// command line flags, which take precedence. Few settings are applied when they change
// while the process runs: see Settings.NeedRestart.
//
// The package keeps no state. A Settings may be read concurrently.
//
// The file is read strictly: an unknown field or a value of the wrong type is a fault, and
// all faults are reported at once. The configuration reader of go-zero does not offer this.
package static

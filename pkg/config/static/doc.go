// Package static reads and checks the settings by which a process learns its
// place in a deployment: a YAML or JSON file, and command line flags over it.
// Few of them are taken over when they change while the process runs: see
// Settings.NeedRestart.
//
// The file is read strictly, which go-zero's own configuration reader does not
// offer: an unknown field or a value of the wrong type is a fault, and all
// faults are reported at once.
package static

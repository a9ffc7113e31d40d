// Package storagelimit derives bounds on the size of control state and of its log from the
// disk and memory of a machine.
//
// For is a pure function; its result is a value that may be used concurrently.
package storagelimit

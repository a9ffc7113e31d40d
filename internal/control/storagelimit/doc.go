// Package storagelimit derives from what a machine gives how large control state and its log
// may become there.
//
// For is a pure function; its Limits may be used concurrently.
package storagelimit

// Package faults formats and converts lists of faults for the error types of the packages
// static and dynamic. A fault is one reason for which settings or a configuration are not
// valid. The package keeps no state.
package faults

import "strings"

// Text formats a fault as one line: the path of its field, if it has one, and its message.
func Text(field, message string) string {
	if field == "" {
		return message
	}
	return field + ": " + message
}

// Lines formats a list of faults, one per line.
func Lines[E error](errs []E) string {
	lines := make([]string, 0, len(errs))
	for _, fault := range errs {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// AsErrors returns the faults as a list of errors, for Unwrap methods that give errors.Is and
// errors.As access to each of them.
func AsErrors[E error](errs []E) []error {
	list := make([]error, 0, len(errs))
	for _, fault := range errs {
		list = append(list, fault)
	}
	return list
}

// Package faults formats lists of faults, for the error types of settings and of the
// configuration. It keeps no state.
package faults

import "strings"

// Text is a fault as a line: the path of its field, if it has one, and what is
// wrong.
func Text(field, message string) string {
	if field == "" {
		return message
	}
	return field + ": " + message
}

// Lines lists faults, one a line.
func Lines[E error](errs []E) string {
	lines := make([]string, 0, len(errs))
	for _, fault := range errs {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// AsErrors returns the faults as single errors, for errors.Is and errors.As.
func AsErrors[E error](errs []E) []error {
	list := make([]error, 0, len(errs))
	for _, fault := range errs {
		list = append(list, fault)
	}
	return list
}

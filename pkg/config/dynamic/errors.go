package dynamic

import (
	"errors"
	"fmt"
	"strings"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/faults"
)

// Kind classifies a fault of an order or a configuration. The values of its constants are
// stable.
type Kind string

// The kinds of faults.
const (
	// KindMalformed marks input that is not JSON, or a value of the wrong type.
	KindMalformed Kind = "malformed"
	// KindUnknownField marks a field that the schema does not have.
	KindUnknownField Kind = "unknown_field"
	// KindMissing marks a required field that is absent or empty.
	KindMissing Kind = "missing"
	// KindInvalid marks a value of the wrong form.
	KindInvalid Kind = "invalid"
	// KindOutOfRange marks a number outside its bounds.
	KindOutOfRange Kind = "out_of_range"
	// KindDuplicate marks a field that is given more than once, or a value that must be
	// unique and is not.
	KindDuplicate Kind = "duplicate"
	// KindDanglingReference marks a reference to something that the configuration does
	// not contain.
	KindDanglingReference Kind = "dangling_reference"
	// KindOversize marks a document, configuration, list or text that is larger than its
	// bound.
	KindOversize Kind = "oversize"
	// KindNotFound marks an order for a tenant, key or pool that does not exist.
	KindNotFound Kind = "not_found"
	// KindOrderIDMissing marks an order without an identity.
	KindOrderIDMissing Kind = "order_id_missing"
	// KindOrderIDConflict marks an order whose identity belongs to an accepted
	// order of other content.
	KindOrderIDConflict Kind = "order_id_conflict"
	// KindBaseRevisionStale marks an order that is based on another revision than the one
	// in force, or a document that is based on another version.
	KindBaseRevisionStale Kind = "base_revision_stale"
	// KindEvacuationChanged marks a conditional order for a zone whose evacuation has
	// begun or ended after the revision of the condition, or whose condition names a
	// revision that has not been in force.
	KindEvacuationChanged Kind = "evacuation_changed"
	// KindSourceVersionNotAbove marks a document whose version is not above its base
	// version or the version in force.
	KindSourceVersionNotAbove Kind = "source_version_not_above"
)

// maxReportedFaults bounds the faults whose messages one Problem contains.
const maxReportedFaults = 20

// Error is one fault. Its message says how to correct it.
type Error struct {
	Kind Kind
	// Field is the path of the offending field, such as
	// "tenants[2].limits.burst"; empty if the fault concerns the whole input.
	Field   string
	Message string
	// Revision is the revision in force if the fault depends on it, else 0.
	Revision uint64
}

// Error returns the path of the field and the message.
func (e *Error) Error() string { return faults.Text(e.Field, e.Message) }

// Problem returns the fault in the form in which operators get it.
func (e *Error) Problem() *ridgeswitchv1.Problem {
	return &ridgeswitchv1.Problem{
		Kind:     string(e.Kind),
		Message:  e.Message,
		Field:    e.Field,
		Revision: e.Revision,
	}
}

// Errors contains all faults of one input, in the order in which they were found.
type Errors []*Error

// Error returns the faults, one per line.
func (errs Errors) Error() string { return faults.Lines(errs) }

// Unwrap returns the faults, so that errors.As and errors.Is find each of them.
func (errs Errors) Unwrap() []error { return faults.AsErrors(errs) }

// Problem returns the kind and the field of the first fault, and a message that lists the
// faults, up to maxReportedFaults of them. It returns nil if there are none.
func (errs Errors) Problem() *ridgeswitchv1.Problem {
	if len(errs) == 0 {
		return nil
	}
	problem := errs[0].Problem()
	if len(errs) == 1 {
		return problem
	}
	problem.Message = errs.summary()
	return problem
}

// summary lists up to maxReportedFaults faults on one line.
func (errs Errors) summary() string {
	shown := errs
	if len(shown) > maxReportedFaults {
		shown = shown[:maxReportedFaults]
	}
	texts := make([]string, 0, len(shown)+1)
	for _, fault := range shown {
		texts = append(texts, fault.Error())
	}
	if hidden := len(errs) - len(shown); hidden > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", hidden))
	}
	return fmt.Sprintf("%d faults: %s", len(errs), strings.Join(texts, "; "))
}

// collector gathers the faults of one input.
type collector struct {
	faults Errors
}

// add appends a fault, unless there are MaxFaults already: a document that consists of
// faults must not exhaust the node's memory.
func (c *collector) add(kind Kind, path, format string, arguments ...any) {
	if len(c.faults) >= MaxFaults {
		return
	}
	c.faults = append(c.faults, &Error{Kind: kind, Field: path, Message: fmt.Sprintf(format, arguments...)})
}

// orNil returns the list as an error, or nil when it is empty.
func (errs Errors) orNil() error {
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// problemOf returns the Problem that operators get for an error of this package.
func problemOf(err error, revision uint64) *ridgeswitchv1.Problem {
	problem := &ridgeswitchv1.Problem{Kind: string(KindInvalid), Message: err.Error()}
	var fault interface {
		error
		Problem() *ridgeswitchv1.Problem
	}
	if errors.As(err, &fault) {
		problem = fault.Problem()
	}
	problem.Revision = revision
	return problem
}

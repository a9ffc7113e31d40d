package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteText prints the report for people.
func (r *Report) WriteText(target io.Writer) error {
	run := r.Run
	_, _ = fmt.Fprintf(target, "%s; skipped: %d without key, %d above the bound of requests at once, %d unsupported; worst sending delay %s ms\n",
		run.describe(), run.Skipped.NoKey, run.Skipped.MaxInFlight, run.Skipped.Unsupported, short(run.MaxLagMS))
	if run.Faults.Total() > 0 {
		_, _ = fmt.Fprintf(target, "faulty lines: %d torn, %d invalid, %d of an unknown version, %d too long\n",
			run.Faults.Torn, run.Faults.Invalid, run.Faults.UnknownVersion, run.Faults.TooLong)
	}
	for _, fault := range run.Faults.First {
		_, _ = fmt.Fprintf(target, "  line %d: %s: %s\n", fault.Line, fault.Kind, fault.Message)
	}
	if run.DroppedByNodes > 0 {
		_, _ = fmt.Fprintf(target, "the recording lacks %d requests that the node could not write\n", run.DroppedByNodes)
	}
	table := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "group\trequests\tanswered\trefused\tcut\tleft\tlate\tretries\treuse\tfirst token p50/p99 ms\ttotal p50/p99 ms")
	writeGroup(table, "models", r.Models)
	for _, group := range r.Tenants {
		writeGroup(table, "tenant "+group.Name, group)
	}
	for _, group := range r.Destinations {
		writeGroup(table, "destination "+group.Name, group)
	}
	return errors.Wrap(table.Flush(), "print the report")
}

func writeGroup(target io.Writer, name string, group Group) {
	_, _ = fmt.Fprintf(target, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, group.Requests, group.Completed,
		group.Refused, group.Truncated, group.Disconnected, group.Late, group.Retries, percent(group.ReuseRatio),
		quantilePair(group.FirstToken), quantilePair(group.Total))
}

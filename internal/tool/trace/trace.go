// Package trace collects the log lines of several processes that concern one
// request, batch item or job.
//
// # Model
//
// A log is a sequence of structured lines. A line belongs to an ID if one of its
// fields equals the ID or is a list that contains it. These lines determine the
// targets that were involved and the time span. Other events within that span are
// added as context: state changes of those targets, and events that the same
// processes logged about themselves, the store, the configuration and other gateways.
package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// contextMessages are the log messages about the state of a process rather than
// about a single request.
var contextMessages = []string{
	"gateway starts", "gateway ready", "gateway drains", "gateway stops", "settings reloaded",
	"store lost", "store regained", "configuration in force", "targets dealt",
	"gateway heard", "gateway lost", "gateway met before the store told of it", "gateway forgotten",
	"requests cut off at the drain limit",
}

// Entry is a line of a report.
type Entry struct {
	Line
	// Context marks a line that does not contain the ID.
	Context bool
}

// Explain returns the lines that contain an ID and their context, which reaches from
// margin before the first of them to margin after the last, in order of time.
func Explain(id string, lines []Line, margin time.Duration) (entries []Entry) {
	targets, processes := make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	for _, line := range lines {
		if !line.hasValue(id) {
			continue
		}
		entries = append(entries, Entry{Line: line})
		processes[line.Process] = true
		for _, target := range targetsOf(&line) {
			targets[target] = true
		}
		// Parsed times have the year 0, which is before the zero time, so first and
		// last can't be compared with their initial values.
		if len(entries) == 1 || line.Time.Before(first) {
			first = line.Time
		}
		if len(entries) == 1 || line.Time.After(last) {
			last = line.Time
		}
	}
	if len(entries) == 0 {
		return nil
	}
	for _, line := range lines {
		if line.hasValue(id) || line.Time.Before(first.Add(-margin)) || line.Time.After(last.Add(margin)) {
			continue
		}
		processEvent := processes[line.Process] && slices.Contains(contextMessages, line.Message)
		if processEvent || isTargetEvent(&line, targets) {
			entries = append(entries, Entry{Line: line, Context: true})
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return entries
}

// targetsOf returns the targets in the fields target and targets of a line.
func targetsOf(line *Line) (targets []string) {
	if target := line.Value("target"); target != "" {
		targets = append(targets, target)
	}
	list := strings.Trim(line.Value("targets"), "[]")
	for name := range strings.SplitSeq(list, ",") {
		if name = unquote(strings.TrimSpace(name)); name != "" {
			targets = append(targets, name)
		}
	}
	return targets
}

// isTargetEvent reports whether a line is about the state of one of the targets and
// not about another call to it.
func isTargetEvent(line *Line, targets map[string]bool) bool {
	return targets[line.Value("target")] && strings.HasPrefix(line.Message, "target")
}

// Write prints one line for each entry. Context lines are indented.
func Write(writer io.Writer, entries []Entry) error {
	for _, entry := range entries {
		indent := ""
		if entry.Context {
			indent = "    "
		}
		var fields strings.Builder
		for _, field := range entry.Fields {
			fmt.Fprintf(&fields, " %s=%s", field.Name, field.Value)
		}
		if _, err := fmt.Fprintf(writer, "%s %-20s %s%s%s\n", entry.Time.Format("15:04:05.000000"), entry.Process, indent, entry.Message, fields.String()); err != nil {
			return err
		}
	}
	return nil
}

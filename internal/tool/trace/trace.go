// Package trace gathers what the logs of several processes tell of one request,
// batch item or job.
//
// # Model
//
// A log is a series of structured lines. A line belongs to an ID if one of its
// fields is that ID or a list that holds it. From these lines follow the targets that
// were involved and the span of time. What else happened there then is the ID's
// surroundings: what became of those targets, and what the same processes noted of
// themselves, the store, the configuration and other gateways.
package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// surroundings are the messages that tell what a process believes beside single
// requests.
var surroundings = []string{
	"gateway starts", "gateway ready", "gateway drains", "gateway stops", "settings reloaded",
	"store lost", "store regained", "configuration in force", "targets dealt",
	"gateway heard", "gateway lost", "gateway met before the store told of it", "gateway forgotten",
	"requests cut off at the drain limit",
}

// Entry is a line of a report.
type Entry struct {
	Line
	// Around lines don't name the ID.
	Around bool
}

// Explain returns the lines of an ID and its surroundings, from within around of
// them, in order of time.
func Explain(id string, lines []Line, around time.Duration) (entries []Entry) {
	targets, processes := make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	for _, line := range lines {
		if !line.names(id) {
			continue
		}
		entries = append(entries, Entry{Line: line})
		processes[line.Process] = true
		for _, target := range targetsOf(&line) {
			targets[target] = true
		}
		// Times without a year lie before the zero time.
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
		if line.names(id) || line.Time.Before(first.Add(-around)) || line.Time.After(last.Add(around)) {
			continue
		}
		own := processes[line.Process] && slices.Contains(surroundings, line.Message)
		if own || aboutTarget(&line, targets) {
			entries = append(entries, Entry{Line: line, Around: true})
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return entries
}

// targetsOf returns the targets that a line names.
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

// aboutTarget reports whether a line tells what became of one of the targets, not of
// another call there.
func aboutTarget(line *Line, targets map[string]bool) bool {
	return targets[line.Value("target")] && strings.HasPrefix(line.Message, "target")
}

// Write prints a report, one line an entry. Surroundings are indented.
func Write(writer io.Writer, entries []Entry) error {
	for _, entry := range entries {
		indent := ""
		if entry.Around {
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

package lint

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Located is a finding with its path and position in the file.
type Located struct {
	Rule Rule
	// Path is that of the field in the operators' format; Line and Column are counted from 1.
	Path    string
	Line    int
	Column  int
	Name    string `json:",omitempty"`
	Message string
}

// Sort sorts findings by their positions.
func Sort(findings []Located) {
	slices.SortStableFunc(findings, func(a, b Located) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), strings.Compare(string(a.Rule), string(b.Rule)), strings.Compare(a.Message, b.Message))
	})
}

// Report is what a check tells of a configuration.
type Report struct {
	File     string
	Version  uint64
	Findings []Located
	// Omitted is how many findings of a rule aren't listed.
	Omitted map[Rule]int `json:",omitempty"`
	// Against is what the configuration was compared with; empty if with nothing.
	Against     string       `json:",omitempty"`
	Differences []Difference `json:",omitempty"`
	// OmittedDifferences is how many differences aren't listed.
	OmittedDifferences int `json:",omitempty"`
}

// maxDifferences bounds the differences that are listed.
const maxDifferences = 1000

// SetDifferences sets the differences from what the configuration was compared with.
func (report *Report) SetDifferences(against string, differences []Difference) {
	report.Against, report.Differences = against, differences
	if len(differences) > maxDifferences {
		report.Differences, report.OmittedDifferences = differences[:maxDifferences], len(differences)-maxDifferences
	}
}

// Write writes the report as text, a line for each finding and difference.
func (report *Report) Write(writer io.Writer) error {
	var text strings.Builder
	for _, finding := range report.Findings {
		fmt.Fprintf(&text, "%s:%d:%d: ", report.File, finding.Line, finding.Column)
		if finding.Path != "" {
			fmt.Fprintf(&text, "%s: ", finding.Path)
		}
		if finding.Name != "" {
			fmt.Fprintf(&text, "%s: ", quoted(finding.Name))
		}
		fmt.Fprintf(&text, "%s [%s]\n", finding.Message, finding.Rule)
	}
	for _, rule := range slices.Sorted(maps.Keys(report.Omitted)) {
		fmt.Fprintf(&text, "%s: %d more findings [%s]\n", report.File, report.Omitted[rule], rule)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintf(&text, "%s: configuration of version %d, no findings\n", report.File, report.Version)
	}
	if report.Against != "" {
		report.writeDifferences(&text)
	}
	_, err := io.WriteString(writer, text.String())
	return err
}

func (report *Report) writeDifferences(text *strings.Builder) {
	if len(report.Differences) == 0 {
		fmt.Fprintf(text, "no differences from %s\n", report.Against)
		return
	}
	fmt.Fprintf(text, "differences from %s:\n", report.Against)
	for _, difference := range report.Differences {
		fmt.Fprintf(text, "  %-7s %s", difference.Change, difference.Kind)
		if difference.Name != "" {
			fmt.Fprintf(text, " %s", quoted(difference.Name))
		}
		if difference.Field != "" {
			fmt.Fprintf(text, " %s: %s -> %s", difference.Field, shown(difference.Before), shown(difference.After))
		}
		text.WriteString("\n")
	}
	if report.OmittedDifferences > 0 {
		fmt.Fprintf(text, "  and %d more\n", report.OmittedDifferences)
	}
}

// shown returns a value, or a sign for none.
func shown(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

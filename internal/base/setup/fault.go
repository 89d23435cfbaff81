package setup

import (
	"fmt"
	"strings"
)

// Fault is an error in a settings file.
type Fault struct {
	File string
	// Line is 1-based; 0 if a setting is missing.
	Line    int
	Field   string
	Message string
}

// Error implements error.
func (fault Fault) Error() string {
	var position string
	if position = fault.File; fault.Line > 0 {
		position = fmt.Sprintf("%s:%d", fault.File, fault.Line)
	}
	if fault.Field == "" {
		return fmt.Sprintf("%s: %s", position, fault.Message)
	}
	return fmt.Sprintf("%s: %s: %s", position, fault.Field, fault.Message)
}

// Faults lists all faults of a settings file.
type Faults []Fault

// Error implements error. The text has one line per fault.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

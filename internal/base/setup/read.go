package setup

import (
	"bytes"
	"os"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// Read loads the settings of a process with the given role. If the file can be read
// but isn't valid, the error is of type Faults.
func Read(path string, role agatestage.Role) (settings Settings, err error) {
	var data []byte
	if data, err = os.ReadFile(path); err != nil {
		return settings, errors.Wrap(err, "read settings")
	}
	return Parse(path, data, role)
}

// Parse is like Read, but takes the content of the file.
func Parse(file string, data []byte, role agatestage.Role) (Settings, error) {
	settings, faults := decode(file, data)
	checker := checker{file: file, lines: fieldLines(data), reported: reportedFields(faults)}
	checker.settings(&settings, role)
	faults = append(faults, checker.faults...)
	if len(faults) == 0 {
		return settings, nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return settings, faults
}

// decode decodes as much of the file as possible. As the decoder stops at the first
// value of a wrong type, decode blanks that line and decodes the file again.
func decode(file string, data []byte) (Settings, Faults) {
	var faults Faults
	lines := bytes.Split(data, []byte("\n"))
	for range len(lines) + 1 {
		settings := Defaults()
		decoder := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n"))))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&settings)
		var missing *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case err == nil:
			return settings, faults
		case errors.As(err, &missing):
			return settings, append(faults, unknownFields(file, missing)...)
		case errors.As(err, &wrong):
			row, _ := wrong.Position()
			faults = append(faults, Fault{file, row, strings.Join(wrong.Key(), "."), wrong.Error()})
			if row < 1 || row > len(lines) || len(lines[row-1]) == 0 {
				return settings, faults
			}
			lines[row-1] = nil
		default:
			return settings, append(faults, Fault{File: file, Message: err.Error()})
		}
	}
	return Defaults(), faults
}

// unknownFields returns a fault for each unknown field.
func unknownFields(file string, missing *toml.StrictMissingError) (faults Faults) {
	for i := range missing.Errors {
		row, _ := missing.Errors[i].Position()
		field := strings.Join(missing.Errors[i].Key(), ".")
		faults = append(faults, Fault{file, row, field, "unknown field"})
	}
	return faults
}

// reportedFields returns the fields that already have a fault, so that a value of a
// wrong type isn't also reported as missing.
func reportedFields(faults Faults) map[string]bool {
	reported := make(map[string]bool, len(faults))
	for _, fault := range faults {
		reported[fault.Field] = true
	}
	return reported
}

package trace

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one log line. A request with a long reason and many targets
// takes about a tenth of it.
const maxLineBytes = 1 << 20

// headerPattern matches the klog header and the quoted message of a structured
// line. Anything before them, such as a log collector's timestamp or host name, is
// ignored.
var headerPattern = regexp.MustCompile(`([IWEF])(\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [^\]]+\] ("(?:[^"\\]|\\.)*")`)

// fieldPattern matches one key=value pair; the value is a quoted string, a list or
// a bare word.
var fieldPattern = regexp.MustCompile(`([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S*)`)

// timeLayout is the time format of the header, which has no year.
const timeLayout = "0102 15:04:05.000000"

// Field is one key=value pair; the value is unquoted.
type Field struct {
	Name  string
	Value string
}

// Line is one structured log line.
type Line struct {
	// Process is the name of the log that contains the line.
	Process string
	// Time is the local time of the process; its year is 0.
	Time    time.Time
	Level   string
	Message string
	Fields  []Field
}

// Value returns the value of a field, or "" if the line has no such field.
func (line *Line) Value(name string) string {
	for _, field := range line.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// hasValue reports whether a field of the line equals text or is a list that
// contains it.
func (line *Line) hasValue(text string) bool {
	for _, field := range line.Fields {
		if field.Value == text || strings.HasPrefix(field.Value, "[") && strings.Contains(field.Value, strconv.Quote(text)) {
			return true
		}
	}
	return false
}

// Parse parses one line of a log. It returns false if the line isn't structured.
func Parse(process, text string) (line Line, ok bool) {
	match := headerPattern.FindStringSubmatchIndex(text)
	if match == nil {
		return line, false
	}
	at, err := time.Parse(timeLayout, text[match[4]:match[5]])
	if err != nil {
		return line, false
	}
	line = Line{Process: process, Time: at, Level: text[match[2]:match[3]], Message: unquote(text[match[6]:match[7]])}
	for _, found := range fieldPattern.FindAllStringSubmatch(text[match[1]:], -1) {
		line.Fields = append(line.Fields, Field{Name: found[1], Value: unquote(found[2])})
	}
	return line, true
}

// unquote removes the quotes of a quoted string and returns any other text
// unchanged.
func unquote(text string) string {
	if unquoted, err := strconv.Unquote(text); err == nil {
		return unquoted
	}
	return text
}

// Read parses the structured lines of a log.
func Read(process string, reader io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := Parse(process, scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log of %s", process)
}

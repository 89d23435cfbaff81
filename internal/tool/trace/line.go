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

// maxLine bounds one log line, in bytes: a request with a long reason and many
// targets takes a tenth of it.
const maxLine = 1 << 20

// header matches what a structured line begins with. What stands before it, as a
// collector's own time or host name, is left out.
var header = regexp.MustCompile(`([IWEF])(\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [^\]]+\] ("(?:[^"\\]|\\.)*")`)

// field matches one name and its value: a quoted text, a list, or a word.
var field = regexp.MustCompile(`([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S*)`)

// timeLayout is the header's time, which has no year.
const timeLayout = "0102 15:04:05.000000"

// Field is a name and its value, without quotes.
type Field struct {
	Name  string
	Value string
}

// Line is one structured log line.
type Line struct {
	// Process names the log that the line stands in.
	Process string
	// Time is the process's time of day; its year is 0.
	Time    time.Time
	Level   string
	Message string
	Fields  []Field
}

// Value returns the value of a field, or nothing.
func (line *Line) Value(name string) string {
	for _, field := range line.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// names reports whether a field of the line is the text or a list that holds it.
func (line *Line) names(text string) bool {
	for _, field := range line.Fields {
		if field.Value == text || strings.HasPrefix(field.Value, "[") && strings.Contains(field.Value, strconv.Quote(text)) {
			return true
		}
	}
	return false
}

// Parse reads one line of a log. It returns false if the line isn't structured.
func Parse(process, text string) (line Line, ok bool) {
	match := header.FindStringSubmatchIndex(text)
	if match == nil {
		return line, false
	}
	at, err := time.Parse(timeLayout, text[match[4]:match[5]])
	if err != nil {
		return line, false
	}
	line = Line{Process: process, Time: at, Level: text[match[2]:match[3]], Message: unquote(text[match[6]:match[7]])}
	for _, found := range field.FindAllStringSubmatch(text[match[1]:], -1) {
		line.Fields = append(line.Fields, Field{Name: found[1], Value: unquote(found[2])})
	}
	return line, true
}

// unquote returns a quoted text as it was, and any other as it is.
func unquote(text string) string {
	if plain, err := strconv.Unquote(text); err == nil {
		return plain
	}
	return text
}

// Read parses the structured lines of a log.
func Read(process string, reader io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := Parse(process, scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log of %s", process)
}

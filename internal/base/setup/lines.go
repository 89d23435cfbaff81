package setup

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// fieldLines returns the line number of each field of a TOML document, by the
// field's path. The elements of an array of tables have paths such as Targets[0].
func fieldLines(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var parser unstable.Parser
	parser.Reset(data)
	var table string
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyPath(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
		case unstable.KeyValue:
			path = strings.TrimPrefix(table+"."+path, ".")
		}
		if expression.Kind != unstable.KeyValue {
			path = table
		}
		lines[path] = line
	}
	return lines
}

// keyPath returns the dotted key of an expression and its line number.
func keyPath(parser *unstable.Parser, expression *unstable.Node) (path string, line int) {
	var parts []string
	for keys := expression.Key(); keys.Next(); {
		node := keys.Node()
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), line
}

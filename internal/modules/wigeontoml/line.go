package wigeontoml

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the keys and tables of a document to their line numbers. Elements of arrays of tables are followed by
// their index in brackets.
type lineIndex map[string]int

// suffix returns the line of a key as ":line", to be appended to the file name. If the document doesn't set the key, it
// returns the line of the innermost enclosing table, and an empty string if there is none.
func (l lineIndex) suffix(key string) string {
	for key != "" {
		if line, ok := l[key]; ok {
			return ":" + strconv.Itoa(line)
		}
		key = key[:max(0, strings.LastIndex(key, "."))]
	}
	return ""
}

// keyLines parses a document and returns the line of each key and table in it.
func keyLines(text []byte) lineIndex {
	lines := lineIndex{}
	elementCounts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		key, line := joinKey(&parser, e.Key())
		switch e.Kind {
		case unstable.ArrayTable:
			name := withIndices(key, elementCounts)
			table = fmt.Sprintf("%s[%d]", name, elementCounts[name])
			elementCounts[name]++
			lines[table] = line
		case unstable.Table:
			table = withIndices(key, elementCounts)
			lines[table] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+key, ".")] = line
		default:
		}
	}
	return lines
}

// withIndices adds the index of the latest element to each array of tables in a table name, except the last part.
func withIndices(key string, elementCounts map[string]int) string {
	parts := strings.Split(key, ".")
	path := parts[0]
	for _, part := range parts[1:] {
		if n := elementCounts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path += "." + part
	}
	return path
}

// joinKey returns the parts of a key joined by dots and the line of the first part.
func joinKey(parser *unstable.Parser, it unstable.Iterator) (key string, line int) {
	var parts []string
	for it.Next() {
		if line == 0 {
			line = parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

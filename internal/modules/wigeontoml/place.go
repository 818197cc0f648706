package wigeontoml

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// places are the lines of a document's keys and tables. Elements of arrays of tables have their index in brackets.
type places map[string]int

// of returns the line of a key, or of the nearest table around it, as ":line"; empty when the file has neither.
func (p places) of(key string) string {
	for key != "" {
		if line, ok := p[key]; ok {
			return ":" + strconv.Itoa(line)
		}
		key = key[:max(0, strings.LastIndex(key, "."))]
	}
	return ""
}

// keyLines returns the line of each key and table that a document sets.
func keyLines(text []byte) places {
	lines := places{}
	counts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		key, line := joinKey(&parser, e.Key())
		switch e.Kind {
		case unstable.ArrayTable:
			plain := withIndices(key, counts)
			table = fmt.Sprintf("%s[%d]", plain, counts[plain])
			counts[plain]++
			lines[table] = line
		case unstable.Table:
			table = withIndices(key, counts)
			lines[table] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+key, ".")] = line
		default:
		}
	}
	return lines
}

// withIndices puts the index of the newest element behind each array of tables in a table's name, but for the last.
func withIndices(key string, counts map[string]int) string {
	parts := strings.Split(key, ".")
	path := parts[0]
	for _, part := range parts[1:] {
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path += "." + part
	}
	return path
}

// joinKey writes a key's parts with dots between and returns the line of the first.
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

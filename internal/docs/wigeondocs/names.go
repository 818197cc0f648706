// Package wigeondocs checks that the documentation pages and the code agree. It extracts from both the names that must
// be the same, such as metrics, refusal reasons, configuration keys and commands.
package wigeondocs

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/samber/oops"
)

// metricPatterns match the places where the code names a metric. The first group of each is the metric's name.
var metricPatterns = []*regexp.Regexp{
	regexp.MustCompile(`\.(?:Counter|Gauge|Histogram|Timer)\("(\w+)"`),
	regexp.MustCompile(`\b(?:count|counters\.add)\("(\w+)"`),
	regexp.MustCompile(`\b(?:Count[A-Z]\w*|metric[A-Z]\w*)\s*=\s*"(\w+)"`),
}

// MetricNames returns the sorted names of the metrics in the Go files below a directory, test files excluded.
func MetricNames(dir string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, pattern := range metricPatterns {
			for _, m := range pattern.FindAllSubmatch(text, -1) {
				names = append(names, string(m[1]))
			}
		}
		return nil
	})
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	return sortUnique(names), nil
}

var (
	reasonConstant = regexp.MustCompile(`(?m)^\s*Reason\w+\s+(?:RefusalReason|Reason)\s*=\s*"(\w+)"`)
	codeSpan       = regexp.MustCompile("`([^`]+)`")
)

// RefusalReasons returns the sorted values of the refusal reason constants that a source file declares.
func RefusalReasons(source string) ([]string, error) {
	text, err := os.ReadFile(source)
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	var names []string
	for _, m := range reasonConstant.FindAllSubmatch(text, -1) {
		names = append(names, string(m[1]))
	}
	return sortUnique(names), nil
}

// FirstColumnNames returns the sorted code spans in the first column of all tables of a page.
func FirstColumnNames(page string) ([]string, error) {
	text, err := os.ReadFile(page)
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) > 2 && cells[0] == "" {
			names = append(names, codeSpans(cells[1])...)
		}
	}
	return sortUnique(names), nil
}

// codeSpans returns the contents of the Markdown code spans in a text.
func codeSpans(text string) []string {
	var names []string
	for _, m := range codeSpan.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	return names
}

// Commands returns the arguments of the commands in the indented code blocks of a page. It considers only lines that
// start with one of the prefixes, and removes comments and a trailing "&".
func Commands(page string, prefixes ...string) ([]string, error) {
	text, err := os.ReadFile(page)
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	var commands []string
	for line := range strings.Lines(string(text)) {
		command, ok := strings.CutPrefix(line, "    ")
		if !ok {
			continue
		}
		for _, prefix := range prefixes {
			if arguments, ok := strings.CutPrefix(command, prefix+" "); ok {
				arguments, _, _ = strings.Cut(arguments, "  #")
				commands = append(commands, strings.TrimSuffix(strings.TrimSpace(arguments), " &"))
			}
		}
	}
	return commands, nil
}

// KeyPaths returns the dotted paths of all keys of a struct type, with the names that the given tag assigns. A map key
// is written as NAME, or as ID for API keys. The fields of leaf types are not listed.
func KeyPaths(t reflect.Type, tag, path string, leaves ...reflect.Type) []string {
	switch {
	case slices.Contains(leaves, t):
		return []string{path}
	case t.Kind() == reflect.Map && t.Elem().Kind() == reflect.Struct:
		name := ".NAME"
		if strings.HasSuffix(path, "apiKeys") {
			name = ".ID"
		}
		return KeyPaths(t.Elem(), tag, path+name, leaves...)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return append([]string{path}, KeyPaths(t.Elem(), tag, path, leaves...)...)
	case t.Kind() != reflect.Struct:
		return []string{path}
	}
	var keys []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get(tag), ",")
		keys = append(keys, KeyPaths(f.Type, tag, strings.TrimPrefix(path+"."+name, "."), leaves...)...)
	}
	return keys
}

// sortUnique sorts names in place and removes duplicates.
func sortUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

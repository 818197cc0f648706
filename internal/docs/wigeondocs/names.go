// Package wigeondocs reads from code and pages the names that both must have in common.
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

// metricCalls are the ways in which the code names a metric. Each one has the name as its first group.
var metricCalls = []*regexp.Regexp{
	regexp.MustCompile(`\.(?:Counter|Gauge|Histogram|Timer)\("(\w+)"`),
	regexp.MustCompile(`\b(?:count|counters\.add)\("(\w+)"`),
	regexp.MustCompile(`\b(?:Count[A-Z]\w*|metric[A-Z]\w*)\s*=\s*"(\w+)"`),
}

// MetricNames returns the metrics that the code below a directory names.
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
		for _, call := range metricCalls {
			for _, m := range call.FindAllSubmatch(text, -1) {
				names = append(names, string(m[1]))
			}
		}
		return nil
	})
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	return unique(names), nil
}

var (
	constant = regexp.MustCompile(`(?m)^\s*Reason\w+\s+(?:RefusalReason|Reason)\s*=\s*"(\w+)"`)
	code     = regexp.MustCompile("`([^`]+)`")
)

// Reasons returns the refusal reasons that a source file declares.
func Reasons(source string) ([]string, error) {
	text, err := os.ReadFile(source)
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	var names []string
	for _, m := range constant.FindAllSubmatch(text, -1) {
		names = append(names, string(m[1]))
	}
	return unique(names), nil
}

// FirstColumn returns the names in code quotes in the first column of a page's tables.
func FirstColumn(page string) ([]string, error) {
	text, err := os.ReadFile(page)
	if err != nil {
		return nil, oops.In("docs").Wrap(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) > 2 && cells[0] == "" {
			names = append(names, quoted(cells[1])...)
		}
	}
	return unique(names), nil
}

// quoted returns the names in code quotes of a text.
func quoted(text string) []string {
	var names []string
	for _, m := range code.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	return names
}

// Commands returns the arguments of the commands in the indented blocks of a page that start with one of some prefixes,
// without comments.
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

// Keys returns the paths of the keys of a struct with a tag. Maps stand as NAME, or ID where the key is an id; leaf
// types are not descended into.
func Keys(t reflect.Type, tag, path string, leaves ...reflect.Type) []string {
	switch {
	case slices.Contains(leaves, t):
		return []string{path}
	case t.Kind() == reflect.Map && t.Elem().Kind() == reflect.Struct:
		name := ".NAME"
		if strings.HasSuffix(path, "apiKeys") {
			name = ".ID"
		}
		return Keys(t.Elem(), tag, path+name, leaves...)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return append([]string{path}, Keys(t.Elem(), tag, path, leaves...)...)
	case t.Kind() != reflect.Struct:
		return []string{path}
	}
	var keys []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get(tag), ",")
		keys = append(keys, Keys(f.Type, tag, strings.TrimPrefix(path+"."+name, "."), leaves...)...)
	}
	return keys
}

// unique sorts names and drops repeated ones.
func unique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

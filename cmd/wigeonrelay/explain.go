package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// explainCommand prints the log lines of one request, or of all requests with one content, from the logs of all instances.
type explainCommand struct {
	Request string   `arg:"" help:"ID of the request, its fingerprint, or the fingerprint of its content or of a feature."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files; standard input if none are given."`
}

// logLine holds the fields of a log line that explain uses.
type logLine struct {
	Time    string `json:"time"`
	Request string `json:"request"`
	// Fingerprint identifies everything that the request asks for. Content leaves out query and headers, which a caller may
	// change when it sends the request again.
	Fingerprint string `json:"fingerprint"`
	Content     string `json:"content"`
	// Features identify what else requests have in common, Cause those of them for which one is refused or tried, Feature one that was
	// answered.
	Features []string `json:"features"`
	Cause    []string `json:"cause"`
	Feature  string   `json:"feature"`
	Message  string   `json:"msg"`
	// Reason and Outcome are set on lines that report the end of a request.
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	// raw is the whole line, including any prefix that a log collector added.
	raw string
}

// concerns reports whether the line is about a request, given by its ID, its fingerprint or that of its content, or about a feature.
func (l logLine) concerns(request string) bool {
	return l.Request == request || l.Fingerprint == request || l.Content == request || l.Feature == request ||
		slices.Contains(l.Features, request) || slices.Contains(l.Cause, request)
}

// Run reads the logs and prints the lines of the request in chronological order.
func (c *explainCommand) Run() error {
	var found []logLine
	if len(c.Logs) == 0 {
		lines, err := c.readLines(os.Stdin)
		if err != nil {
			return err
		}
		found = lines
	}
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		lines, err := c.readLines(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		found = append(found, lines...)
	}
	return c.printLines(os.Stdout, found)
}

// readLines returns the log lines of the request. It skips lines without a JSON object, since they come from other
// programs.
func (c *explainCommand) readLines(r io.Reader) ([]logLine, error) {
	var found []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, c.Request) {
			continue
		}
		_, object, isObject := strings.Cut(text, "{")
		var line logLine
		if !isObject || json.Unmarshal([]byte("{"+object), &line) != nil || !line.concerns(c.Request) {
			continue
		}
		line.raw = text
		found = append(found, line)
	}
	return found, scanner.Err()
}

// printLines writes the lines in chronological order, and a note if none of them reports how the request ended.
func (c *explainCommand) printLines(w io.Writer, found []logLine) error {
	if len(found) == 0 {
		return fmt.Errorf("no log line found for request %s", c.Request)
	}
	sort.SliceStable(found, func(i, k int) bool { return found[i].Time < found[k].Time })
	for _, line := range found {
		fmt.Fprintln(w, line.raw)
	}
	last := found[len(found)-1]
	if last.Outcome == "" && last.Reason == "" {
		fmt.Fprintln(w, "the logs don't show how the request ended: its instance stopped, or the line was dropped")
	}
	return nil
}

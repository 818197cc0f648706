package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// explainCommand prints the story of one request from the logs of all instances.
type explainCommand struct {
	Request string   `arg:"" help:"The request's id."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files; standard input when there are none."`
}

// logLine is what explain reads of a line.
type logLine struct {
	Time    string `json:"time"`
	Request string `json:"request"`
	Message string `json:"msg"`
	// Reason and Outcome stand on lines that end something.
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	// text is the line, with what a collector has put in front of it.
	text string
}

// Run reads the logs and prints the request's lines in order of time.
func (c *explainCommand) Run() error {
	var found []logLine
	if len(c.Logs) == 0 {
		lines, err := c.read(os.Stdin)
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
		lines, err := c.read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		found = append(found, lines...)
	}
	return c.print(os.Stdout, found)
}

// read returns the request's lines. Lines that are no JSON objects belong to something else.
func (c *explainCommand) read(r io.Reader) ([]logLine, error) {
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
		if !isObject || json.Unmarshal([]byte("{"+object), &line) != nil || line.Request != c.Request {
			continue
		}
		line.text = text
		found = append(found, line)
	}
	return found, scanner.Err()
}

func (c *explainCommand) print(w io.Writer, found []logLine) error {
	if len(found) == 0 {
		return fmt.Errorf("no line names the request %s", c.Request)
	}
	sort.SliceStable(found, func(i, k int) bool { return found[i].Time < found[k].Time })
	for _, line := range found {
		fmt.Fprintln(w, line.text)
	}
	last := found[len(found)-1]
	if last.Outcome == "" && last.Reason == "" {
		fmt.Fprintln(w, "the request's end is not in the logs: its instance stopped, or the line was dropped")
	}
	return nil
}

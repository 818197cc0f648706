// Package wigeonknown reads KNOWN-RED.txt, the list of known failures, for the tests that it names.
package wigeonknown

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"github.com/samber/oops"
)

// Path is the list as seen from a package three levels below the root.
const Path = "../../../KNOWN-RED.txt"

// Failure returns the entry of a test, or an empty text if the list doesn't name the test or doesn't exist. An entry begins
// with the test's package, a colon, its name and a vertical bar.
func Failure(path, packageName, test string) (string, error) {
	list, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", oops.In("known").Wrap(err)
	}
	for line := range strings.Lines(string(list)) {
		if strings.HasPrefix(line, packageName+": "+test+" |") {
			return strings.TrimSpace(line), nil
		}
	}
	return "", nil
}

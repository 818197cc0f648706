package wigeondocs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/cmd"
	"wigeonshift/internal/measure/wigeonslope"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeontoml"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeondocs")
}

const (
	repositoryRoot = "../../.."
	docsDir        = repositoryRoot + "/docs/"
)

// must fails the spec if err is not nil, and returns value otherwise.
func must[T any](value T, err error) T {
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return value
}

// expectSameNames checks that page and code contain the same names. A failure lists the names that only one contains.
func expectSameNames(page, code []string) {
	difference := func(names, others []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(others, n) })
	}
	ExpectWithOffset(1, difference(code, page)).To(BeEmpty(), "not on the page")
	ExpectWithOffset(1, difference(page, code)).To(BeEmpty(), "not in the code")
}

// runCommand runs the command line and returns its exit code and output.
func runCommand(args ...string) (int, string) {
	var out, errOut bytes.Buffer
	code := cmd.Run(args, &out, &errOut)
	return code, out.String() + errOut.String()
}

var _ = Describe("Pages", func() {
	It("list exactly the metrics of the code", func() {
		metrics := must(MetricNames(repositoryRoot + "/internal"))
		Expect(metrics).To(ContainElements("grants", "entryRefusals", "leasesLapsed", "entryFirstToken", "peerSessions"))
		expectSameNames(must(FirstColumnNames(docsDir+"metrics.md")), metrics)
	})

	It("list exactly the refusal reasons for callers, and all refusal reasons for operators", func() {
		reasons := must(RefusalReasons(repositoryRoot + "/request.go"))
		Expect(len(reasons)).To(BeNumerically(">", 20))
		Expect(secondColumnNames(docsDir+"caller-api.md", "| status | reasons |")).To(ConsistOf(reasons))
		operatorReasons := must(RefusalReasons(repositoryRoot + "/internal/routers/wigeonoperator/error.go"))
		Expect(len(operatorReasons)).To(BeNumerically(">", 5))
		text := string(must(os.ReadFile(docsDir + "operator-api.md")))
		for _, reason := range operatorReasons {
			Expect(text).To(ContainSubstring("`" + reason + "`"))
		}
	})

	It("list exactly the keys of the settings and the configuration", func() {
		keys := KeyPaths(reflect.TypeFor[wigeonsetting.Settings](), "toml", "", reflect.TypeFor[wigeontoml.Duration]())
		keys = append(keys, KeyPaths(reflect.TypeFor[wigeonshift.Configuration](), "json", "", reflect.TypeFor[time.Time]())...)
		var documented []string
		key := regexp.MustCompile(`^(version|[a-z]\w*(\.\w+)+)$`)
		for line := range strings.Lines(string(must(os.ReadFile(docsDir + "configuration.md")))) {
			for _, name := range codeSpans(line) {
				if strings.HasPrefix(line, "|") && key.MatchString(name) && name != "products.NAME" {
					documented = append(documented, name)
				}
			}
		}
		expectSameNames(documented, keys)
	})

	It("show the fit of every series of slopes.json, each measured at three or more sizes", func() {
		var measured wigeonslope.Results
		Expect(json.Unmarshal(must(os.ReadFile(docsDir+"measurements/slopes.json")), &measured)).To(Succeed())
		page := string(must(os.ReadFile(docsDir + "CAPACITY.md")))
		_, table, found := strings.Cut(page, "## All slopes")
		Expect(found).To(BeTrue())
		var names []string
		for _, s := range measured.Series {
			names = append(names, s.Name)
			Expect(len(s.Points)).To(BeNumerically(">=", 3), s.Name)
			Expect(table).To(ContainSubstring("| `"+s.Name+"` |"), s.Name)
			Expect(table).To(ContainSubstring(fmt.Sprintf("| %.3f |", s.Fit.R2)), s.Name)
		}
		Expect(names).NotTo(BeEmpty())
		for _, name := range codeSpans(page) {
			if regexp.MustCompile(`^[a-z]+([A-Z][a-z]+)+$`).MatchString(name) && !slices.Contains(must(RefusalReasons(repositoryRoot+"/request.go")), name) {
				Expect(names).To(ContainElement(name))
			}
		}
	})

	It("link only to existing files", func() {
		link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
		for _, page := range must(filepath.Glob(docsDir + "*.md")) {
			for _, m := range link.FindAllStringSubmatch(string(must(os.ReadFile(page))), -1) {
				Expect(filepath.Join(docsDir, m[1])).To(BeAnExistingFile(), page)
			}
		}
	})
})

// secondColumnNames returns the code spans in the second column of the table that starts with heading.
func secondColumnNames(page, heading string) []string {
	_, table, found := strings.Cut(string(must(os.ReadFile(page))), heading)
	Expect(found).To(BeTrue())
	table, _, _ = strings.Cut(table, "\n\n")
	var names []string
	for line := range strings.Lines(table) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			names = append(names, codeSpans(cells[2])...)
		}
	}
	return names
}

var _ = Describe("Documented commands", func() {
	// With --help, kong parses the command and prints its usage without running it.
	It("exist on the command line with all their flags", func() {
		GinkgoT().Chdir(repositoryRoot)
		pages := append(must(filepath.Glob("docs/*.md")), must(filepath.Glob("docs/operations/*.md"))...)
		commandCount := 0
		for _, page := range append(pages, "README.md") {
			for _, command := range must(Commands(page, "wigeonshift", "bin/wigeonshift", "go run ./cmd/wigeonshift")) {
				// Placeholders in capitals become 1. Files that the reader is to create become a file that exists.
				command = regexp.MustCompile(`\S+\.(txt|key)\b`).ReplaceAllString(command, "docs/metrics.md")
				filled := regexp.MustCompile(`\b[A-Z_]{4,}\b`).ReplaceAllString(command, "1")
				words := strings.Fields(strings.ReplaceAll(filled, "...", ""))
				code, out := runCommand(append(slices.Clone(words), "--help")...)
				Expect(code).To(Equal(cmd.ExitOK), "%s: %s\n%s", page, command, out)
				Expect(out).To(ContainSubstring("Usage: wigeonshift"), command)
				for _, word := range words {
					if flag, _, _ := strings.Cut(word, "="); strings.HasPrefix(flag, "--") {
						Expect(out).To(MatchRegexp(`(?m)%s\b`, regexp.QuoteMeta(flag)), command)
					}
				}
				commandCount++
			}
		}
		Expect(commandCount).To(BeNumerically(">=", 15))
	})

	It("call make only with targets of the Makefile", func() {
		makefile := string(must(os.ReadFile(repositoryRoot + "/Makefile")))
		commandCount := 0
		for _, page := range append(must(filepath.Glob(docsDir+"*.md")), repositoryRoot+"/README.md") {
			for _, target := range must(Commands(page, "make")) {
				for _, word := range strings.Fields(target) {
					Expect(strings.Contains(word, "=") || strings.Contains(makefile, "\n"+word+":")).To(BeTrue(), "%s: make %s", page, target)
				}
				commandCount++
			}
		}
		Expect(commandCount).To(BeNumerically(">=", 1))
	})

	It("succeed if they need no running nodes", func() {
		dir := GinkgoT().TempDir()
		patch := filepath.Join(dir, "patch.json")
		Expect(os.WriteFile(patch, []byte(`{"products":{"p":{"tiers":{"urgent":{"rank":0,"defaultDeadlineMs":1000}}}}}`), 0o600)).To(Succeed())
		for _, arguments := range [][]string{
			{"version"}, {"--help"}, {"config", "keygen"}, {"config", "keygen", "--operator", "ana", "--role", "editor"},
			{"config", "validate", patch}, {"node", "--config", docsDir + "wigeonshift.example.toml", "--check"},
			{"config", "validate", repositoryRoot + "/scenarios/instituto.json"}, {"config", "validate", repositoryRoot + "/scenarios/asociacion.json"},
		} {
			code, out := runCommand(arguments...)
			Expect(code).To(Equal(cmd.ExitOK), "%v: %s", arguments, out)
		}
		Expect(os.WriteFile(patch, []byte(`{"products":{"p":{"tires":{}}}}`), 0o600)).To(Succeed())
		code, _ := runCommand("config", "validate", patch)
		Expect(code).NotTo(Equal(cmd.ExitOK))
	})
})

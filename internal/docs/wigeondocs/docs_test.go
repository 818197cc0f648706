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
	root = "../../.."
	docs = root + "/docs/"
)

// must returns a value without error.
func must[T any](value T, err error) T {
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return value
}

// expectSame checks that page and code have the same names, and tells the others.
func expectSame(page, code []string) {
	without := func(names, others []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(others, n) })
	}
	ExpectWithOffset(1, without(code, page)).To(BeEmpty(), "not on the page")
	ExpectWithOffset(1, without(page, code)).To(BeEmpty(), "not in the code")
}

// run runs the command line and returns its exit code and output.
func run(args ...string) (int, string) {
	var out, errOut bytes.Buffer
	code := cmd.Run(args, &out, &errOut)
	return code, out.String() + errOut.String()
}

var _ = Describe("Pages", func() {
	It("list every metric of the code and no other", func() {
		named := must(MetricNames(root + "/internal"))
		Expect(named).To(ContainElements("grants", "entryRefusals", "leasesLapsed", "entryFirstToken", "peerSessions"))
		expectSame(must(FirstColumn(docs+"metrics.md")), named)
	})

	It("list every refusal reason of callers and operators and no other", func() {
		reasons := must(Reasons(root + "/request.go"))
		Expect(len(reasons)).To(BeNumerically(">", 20))
		Expect(tableAfter(docs+"caller-api.md", "| status | reasons |")).To(ConsistOf(reasons))
		operators := must(Reasons(root + "/internal/routers/wigeonoperator/error.go"))
		Expect(len(operators)).To(BeNumerically(">", 5))
		text := string(must(os.ReadFile(docs + "operator-api.md")))
		for _, reason := range operators {
			Expect(text).To(ContainSubstring("`" + reason + "`"))
		}
	})

	It("list every key of the settings and the configuration and no other", func() {
		keys := Keys(reflect.TypeFor[wigeonsetting.Settings](), "toml", "", reflect.TypeFor[wigeontoml.Duration]())
		keys = append(keys, Keys(reflect.TypeFor[wigeonshift.Configuration](), "json", "", reflect.TypeFor[time.Time]())...)
		var documented []string
		key := regexp.MustCompile(`^(version|[a-z]\w*(\.\w+)+)$`)
		for line := range strings.Lines(string(must(os.ReadFile(docs + "configuration.md")))) {
			for _, name := range quoted(line) {
				if strings.HasPrefix(line, "|") && key.MatchString(name) && name != "products.NAME" {
					documented = append(documented, name)
				}
			}
		}
		expectSame(documented, keys)
	})

	It("give the fit of every measured series as it was written, at three sizes or more", func() {
		var measured wigeonslope.Results
		Expect(json.Unmarshal(must(os.ReadFile(docs+"measurements/slopes.json")), &measured)).To(Succeed())
		page := string(must(os.ReadFile(docs + "CAPACITY.md")))
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
		for _, name := range quoted(page) {
			if regexp.MustCompile(`^[a-z]+([A-Z][a-z]+)+$`).MatchString(name) && !slices.Contains(must(Reasons(root+"/request.go")), name) {
				Expect(names).To(ContainElement(name))
			}
		}
	})

	It("link only to pages that exist", func() {
		link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
		for _, page := range must(filepath.Glob(docs + "*.md")) {
			for _, m := range link.FindAllStringSubmatch(string(must(os.ReadFile(page))), -1) {
				Expect(filepath.Join(docs, m[1])).To(BeAnExistingFile(), page)
			}
		}
	})
})

// tableAfter returns the names in code quotes of the second column of the table with a heading.
func tableAfter(page, heading string) []string {
	_, table, found := strings.Cut(string(must(os.ReadFile(page))), heading)
	Expect(found).To(BeTrue())
	table, _, _ = strings.Cut(table, "\n\n")
	var names []string
	for line := range strings.Lines(table) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			names = append(names, quoted(cells[2])...)
		}
	}
	return names
}

var _ = Describe("Commands of the pages", func() {
	// Each documented command must be one that the command line knows; kong prints its help without running it.
	It("are known to the command line, flags included", func() {
		GinkgoT().Chdir(root)
		pages := append(must(filepath.Glob("docs/*.md")), must(filepath.Glob("docs/operations/*.md"))...)
		seen := 0
		for _, page := range append(pages, "README.md") {
			for _, command := range must(Commands(page, "wigeonshift", "bin/wigeonshift", "go run ./cmd/wigeonshift")) {
				// Placeholders are written in capitals; files that the reader makes are replaced by one that exists.
				command = regexp.MustCompile(`\S+\.(txt|key)\b`).ReplaceAllString(command, "docs/metrics.md")
				filled := regexp.MustCompile(`\b[A-Z_]{4,}\b`).ReplaceAllString(command, "1")
				words := strings.Fields(strings.ReplaceAll(filled, "...", ""))
				code, out := run(append(slices.Clone(words), "--help")...)
				Expect(code).To(Equal(cmd.ExitOK), "%s: %s\n%s", page, command, out)
				Expect(out).To(ContainSubstring("Usage: wigeonshift"), command)
				for _, word := range words {
					if flag, _, _ := strings.Cut(word, "="); strings.HasPrefix(flag, "--") {
						Expect(out).To(MatchRegexp(`(?m)%s\b`, regexp.QuoteMeta(flag)), command)
					}
				}
				seen++
			}
		}
		Expect(seen).To(BeNumerically(">=", 15))
	})

	It("are targets of the Makefile where they call make", func() {
		makefile := string(must(os.ReadFile(root + "/Makefile")))
		seen := 0
		for _, page := range append(must(filepath.Glob(docs+"*.md")), root+"/README.md") {
			for _, target := range must(Commands(page, "make")) {
				for _, word := range strings.Fields(target) {
					Expect(strings.Contains(word, "=") || strings.Contains(makefile, "\n"+word+":")).To(BeTrue(), "%s: make %s", page, target)
				}
				seen++
			}
		}
		Expect(seen).To(BeNumerically(">=", 1))
	})

	It("run where they need no site", func() {
		dir := GinkgoT().TempDir()
		patch := filepath.Join(dir, "patch.json")
		Expect(os.WriteFile(patch, []byte(`{"products":{"p":{"tiers":{"urgent":{"rank":0,"defaultDeadlineMs":1000}}}}}`), 0o600)).To(Succeed())
		for _, c := range [][]string{
			{"version"}, {"--help"}, {"config", "keygen"}, {"config", "keygen", "--operator", "ana", "--role", "editor"},
			{"config", "validate", patch}, {"node", "--config", docs + "wigeonshift.example.toml", "--check"},
			{"config", "validate", root + "/scenarios/instituto.json"}, {"config", "validate", root + "/scenarios/asociacion.json"},
		} {
			code, out := run(c...)
			Expect(code).To(Equal(cmd.ExitOK), "%v: %s", c, out)
		}
		Expect(os.WriteFile(patch, []byte(`{"products":{"p":{"tires":{}}}}`), 0o600)).To(Succeed())
		code, _ := run("config", "validate", patch)
		Expect(code).NotTo(Equal(cmd.ExitOK))
	})
})

package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"sync"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/routers/wigeonoperator"
	"wigeonshift/internal/standin/wigeonplatform"

	"github.com/alecthomas/kong"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runConfig runs the config command with arguments and returns its standard output.
func runConfig(args ...string) (string, error) {
	var command struct {
		Config ConfigCommand `cmd:""`
	}
	var out, errOut bytes.Buffer
	parser, err := kong.New(&command, kong.Bind(Streams{Out: &out, Err: &errOut}), kong.Exit(func(int) {}))
	Expect(err).NotTo(HaveOccurred())
	parsed, err := parser.Parse(append([]string{"config"}, args...))
	if err != nil {
		return out.String(), err
	}
	err = parsed.Run()
	return out.String(), err
}

var _ = Describe("config", func() {
	var dir string
	var core *wigeonplatform.Core

	writeTempFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	// startOperatorAPI starts an operator API server with an editor key from keygen and sets the variables that select it.
	startOperatorAPI := func() {
		out, err := runConfig("keygen", "--operator", "ana", "--role", "editor", "--json")
		Expect(err).NotTo(HaveOccurred())
		var k generatedKey
		Expect(json.Unmarshal([]byte(out), &k)).To(Succeed())
		core = wigeonplatform.NewCore()
		server := wigeonoperator.New(wigeonconfig.NewRepository(core, core), wigeonoperator.Instance{
			Accept: func(wigeonshift.Change, *wigeonshift.Configuration) {},
			Versions: func(context.Context) []wigeonshift.InstanceVersion {
				return []wigeonshift.InstanceVersion{{Instance: wigeonshift.Instance{ID: "i1", Zone: "iztapa"}, Version: 2}}
			},
		}, wigeonoperator.WithKeys(wigeonoperator.Key{Name: k.ID, Role: wigeonoperator.RoleEditor, Stored: k.Stored}))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Start(context.Background(), l)).To(Succeed())
		DeferCleanup(func() { Expect(server.Stop(context.Background())).To(Succeed()) })
		GinkgoT().Setenv("WIGEONSHIFT_OPERATOR", "http://"+l.Addr().String())
		GinkgoT().Setenv("WIGEONSHIFT_OPERATOR_KEY_FILE", writeTempFile("key", k.Key+"\n"))
	}

	BeforeEach(func() { dir = GinkgoT().TempDir() })

	It("patches from JSON and TOML, shows, diffs, lists and rolls back the configuration", func() {
		startOperatorAPI()
		first := writeTempFile("first.toml", "[products.loft.tiers.urgent]\nrank = 0\ndefaultDeadlineMs = 2000\n")
		second := writeTempFile("second.json", `{"products":{"loft":{"tiers":{"urgent":{"defaultDeadlineMs":3000}}}}}`)
		Expect(runConfig("patch", first, "--base", "0", "--dry-run")).To(ContainSubstring("would become version 1"))
		Expect(runConfig("patch", first, "--base", "0")).To(ContainSubstring("accepted as version 1"))
		_, err := runConfig("patch", second, "--base", "0")
		Expect(err).To(MatchError(And(ContainSubstring("newest version is 1"), ContainSubstring("1 by ana"), ContainSubstring("urgent"))))
		_, err = runConfig("patch", second, "--base", "9")
		Expect(err).To(MatchError(ContainSubstring("doesn't exist: the newest version is 1")))
		Expect(runConfig("patch", second, "--base", "1", "--json")).To(ContainSubstring(`"version": 2`))
		Expect(runConfig("diff", "2", "1")).To(MatchJSON(`{"products":{"loft":{"tiers":{"urgent":{"defaultDeadlineMs":2000}}}}}`))
		Expect(runConfig("rollback", "1", "--base", "2")).To(ContainSubstring("accepted as version 3"))
		Expect(runConfig("show", "--newest")).To(ContainSubstring(`"defaultDeadlineMs": 2000`))
		Expect(runConfig("show", "--at", "2")).To(ContainSubstring(`"defaultDeadlineMs": 3000`))
		Expect(runConfig("history", "--after", "1")).To(And(ContainSubstring("ana"), ContainSubstring("3000")))
		Expect(runConfig("versions")).To(ContainSubstring("iztapa"))
	})

	It("tells the operator to resend the patch when its outcome is unknown", func() {
		startOperatorAPI()
		patch := writeTempFile("p.json", `{"products":{"a":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		GinkgoT().Setenv("WIGEONSHIFT_OPERATOR", "http://"+l.Addr().String())
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() {
			if c, err := l.Accept(); err == nil {
				_, _ = c.Read(make([]byte, 1))
				// Close the listener first so that the next dial is refused.
				l.Close()
				c.Close()
			}
		})
		_, err = runConfig("patch", patch, "--base", "0", "--patch-id", "p7")
		Expect(err).To(MatchError(ContainSubstring("--patch-id p7")))
		_, err = runConfig("patch", patch, "--base", "0", "--patch-id", "p7")
		Expect(err).To(MatchError(And(ContainSubstring("nothing was changed"), Not(ContainSubstring("--patch-id")))), "connection refused")
	})

	It("validates a file offline and reports the path of an invalid field", func() {
		good := writeTempFile("good.json", `{"version":4,"products":{"a":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`)
		Expect(runConfig("validate", good)).To(Equal("valid\n"))
		bad := writeTempFile("bad.json", `{"products":{"a":{"tiers":{"t":{"rank":-1}}}}}`)
		_, err := runConfig("validate", bad, "--against", good)
		Expect(err).To(MatchError(ContainSubstring("products.a.tiers.t.rank: must not be negative")))
		_, err = runConfig("validate", writeTempFile("broken.json", `{"a":`))
		Expect(err).To(MatchError(errUsage))
	})

	It("generates caller keys that a configuration accepts, and requires an operator key to call the API", func() {
		out, err := runConfig("keygen", "--json")
		Expect(err).NotTo(HaveOccurred())
		var k generatedKey
		Expect(json.Unmarshal([]byte(out), &k)).To(Succeed())
		stored, err := json.Marshal(map[string]wigeonshift.APIKey{k.ID: k.Stored})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(stored)).NotTo(ContainSubstring(k.Key[len(k.ID)+1:]))
		file := writeTempFile("c.json", `{"products":{"a":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}},
			"organisations":{"o":{"tiers":["t"],"apiKeys":`+string(stored)+`}}}}}`)
		Expect(runConfig("validate", file)).To(Equal("valid\n"))
		Expect(runConfig("keygen")).To(ContainSubstring("only this once"))
		_, err = runConfig("show")
		Expect(err).To(MatchError(errUsage))
	})
})

package wigeonsetting_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"wigeonshift/internal/modules/wigeonsetting"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
)

// renderSections keeps the sections of a template without their markers, or drops them.
func renderSections(text string, keep bool) string {
	if keep {
		return regexp.MustCompile(`\{\{[#/][a-z_.]+\}\}\n`).ReplaceAllString(text, "")
	}
	return regexp.MustCompile(`(?s)\{\{#[a-z_.]+\}\}.*?\{\{/[a-z_.]+\}\}\n`).ReplaceAllString(text, "")
}

var _ = Describe("Relay settings", func() {
	// Guards against settings that a deployment without rollouts, or one with them, can't start with.
	DescribeTable("accept the deploy template with its placeholders filled in", func(hasRollouts bool) {
		template, err := os.ReadFile("../../../deploy/relay.toml.tmpl")
		Expect(err).NotTo(HaveOccurred())
		text := renderSections(string(template), hasRollouts)
		values := strings.NewReplacer("{{node}}", "n", "{{zone}}", "z", "{{region}}", "r", "{{listen.front}}", "192.0.2.1:1",
			"{{listen.ready}}", "192.0.2.1:2", "{{ip}}", "192.0.2.1", "{{internal_ports.0}}", "3", "{{internal_ports.1}}", "4",
			"{{platform.address}}", "192.0.2.9:5", "{{bounds.expose_share}}", "0.2", "{{bounds.expose_slack}}", "30",
			"{{bounds.rollback_ms}}", "4000")
		filled := regexp.MustCompile(`\{\{[a-z_.]+\}\}`).ReplaceAllString(values.Replace(text), "64")
		filled = strings.Replace(strings.Replace(filled, "overage = 64", "overage = 0.1", 1), "ratio = 64", "ratio = 0.2", 1)
		filled = strings.Replace(filled, "files = 64", "files = 4100", 1)
		s, err := wigeonsetting.ParseRelay("relay.toml", []byte(filled))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Peer.Listen).To(Equal("192.0.2.1:3"))
		Expect(s.Limits.MemoryMegabytes).To(Equal(64))
		if !hasRollouts {
			Expect(s.Rollout).To(Equal(wigeonsetting.DefaultRelay().Rollout))
			return
		}
		Expect(s.Rollout.ExposeShare).To(Equal(0.2))
		Expect(s.Rollout.ExposeSlack).To(Equal(30.0))
		Expect(s.Rollout.RollbackWithin.Duration).To(Equal(4 * time.Second))
	},
		Entry("of a deployment without rollouts", false),
		Entry("of one with rollouts", true),
	)

	It("are documented in the example file, each key with its default", func() {
		text, err := os.ReadFile("../../../docs/wigeonrelay.example.toml")
		Expect(err).NotTo(HaveOccurred())
		loaded, err := wigeonsetting.ParseRelay("example", text)
		Expect(err).NotTo(HaveOccurred())
		want := wigeonsetting.DefaultRelay()
		want.Node, want.Caller, want.Peer, want.Platform = loaded.Node, loaded.Caller, loaded.Peer, loaded.Platform
		Expect(loaded).To(Equal(want))
		var keys map[string]any
		Expect(toml.Unmarshal(text, &keys)).To(Succeed())
		expectKeys(reflect.TypeFor[wigeonsetting.Relay](), keys, "")
	})

	DescribeTable("report the key and position of an error", func(text, want string) {
		_, err := wigeonsetting.ParseRelay("relay.toml", []byte(text))
		Expect(err).To(MatchError(wigeonsetting.ErrInvalid))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown key", "[node]\nnam = \"x\"\n", "relay.toml:2:1: node.nam: unknown key"),
		Entry("bad address", "[caller]\nlisten = \"x\"\n", "relay.toml:2: caller.listen"),
		Entry("bad range", "[retry]\nratio = 2.0\n", "relay.toml:2: retry.ratio: 2 is above"),
		Entry("missing store", "", "platform.address: must be set"),
	)
})

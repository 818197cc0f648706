package wigeonsetting_test

import (
	"errors"
	"os"
	"reflect"
	"testing"

	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeontoml"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
)

func TestSetting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonsetting")
}

const minimal = "[node]\nzone = \"z\"\nregion = \"r\"\n[platform]\naddress = \"127.0.0.1:7400\"\n"

var _ = Describe("Settings", func() {
	It("documents every key with its default in the example file", func() {
		text, err := os.ReadFile("../../../docs/wigeonshift.example.toml")
		Expect(err).NotTo(HaveOccurred())
		loaded, err := wigeonsetting.Parse("example", text)
		Expect(err).NotTo(HaveOccurred())

		want := wigeonsetting.Default()
		want.Node.Zone, want.Node.Region = "champerico", "costa-sur"
		want.Platform.Address = "127.0.0.1:7400"
		want.Operator.Keys = []wigeonsetting.OperatorKey{}
		Expect(loaded).To(Equal(want))

		var keys map[string]any
		Expect(toml.Unmarshal(text, &keys)).To(Succeed())
		expectKeys(reflect.TypeFor[wigeonsetting.Settings](), keys, "")
	})

	DescribeTable("names key and place of a fault",
		func(text, want string) {
			_, err := wigeonsetting.Parse("node.toml", []byte(text))
			Expect(errors.Is(err, wigeonsetting.ErrInvalid)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown key", minimal+"[caller]\nlisen = \"x\"\n", "node.toml:7:1: caller.lisen: unknown key"),
		Entry("bad range", minimal+"[caller]\nmaxBodyBytes = 3\n", "node.toml:7: caller.maxBodyBytes: 3 is below"),
		Entry("missing address", "[node]\nzone = \"z\"\nregion = \"r\"\n", "platform.address: must be set"),
		Entry("wrong type", minimal+"[caller]\nmaxBodyBytes = \"x\"\n", "node.toml:7"),
		Entry("bad duration", minimal+"[drain]\ntimeout = \"soon\"\n", "node.toml:7"),
		Entry("bad address", minimal+"[peer]\nlisten = \"nowhere\"\n", "node.toml:7: peer.listen"),
		Entry("half of a certificate", minimal+"[peer.tls]\nkey = \"k.pem\"\n", "peer.tls.certificate: must be set"),
	)
})

// expectKeys checks that keys holds an entry for each field of a settings struct.
func expectKeys(t reflect.Type, keys map[string]any, path string) {
	for f := range t.Fields() {
		name := f.Tag.Get("toml")
		Expect(keys).To(HaveKey(name), path+name)
		if f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[wigeontoml.Duration]() {
			expectKeys(f.Type, keys[name].(map[string]any), path+name+".")
		}
	}
}

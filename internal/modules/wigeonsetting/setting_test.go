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

const minimalSettings = "[node]\nzone = \"z\"\nregion = \"r\"\n[platform]\naddress = \"127.0.0.1:7400\"\n"

var _ = Describe("Settings", func() {
	It("are documented in the example file, each key with its default", func() {
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

	DescribeTable("report the key and position of an error",
		func(text, want string) {
			_, err := wigeonsetting.Parse("node.toml", []byte(text))
			Expect(errors.Is(err, wigeonsetting.ErrInvalid)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown key", minimalSettings+"[caller]\nlisen = \"x\"\n", "node.toml:7:1: caller.lisen: unknown key"),
		Entry("bad range", minimalSettings+"[caller]\nmaxBodyBytes = 3\n", "node.toml:7: caller.maxBodyBytes: 3 is below"),
		Entry("missing address", "[node]\nzone = \"z\"\nregion = \"r\"\n", "platform.address: must be set"),
		Entry("wrong type", minimalSettings+"[caller]\nmaxBodyBytes = \"x\"\n", "node.toml:7"),
		Entry("bad duration", minimalSettings+"[drain]\ntimeout = \"soon\"\n", "node.toml:7"),
		Entry("bad address", minimalSettings+"[peer]\nlisten = \"nowhere\"\n", "node.toml:7: peer.listen"),
		Entry("key without a certificate", minimalSettings+"[peer.tls]\nkey = \"k.pem\"\n", "peer.tls.certificate: must be set"),
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

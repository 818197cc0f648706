package wigeongateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/routers/wigeongateway"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeongateway")
}

// holdingStore answers lists at once and holds every other question, whatever becomes of its caller.
type holdingStore struct {
	hold time.Duration
}

func (s *holdingStore) List(_ context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	page := wigeonshift.TablePage{Revision: 1}
	if table == wigeonshift.TableConfiguration {
		page.Rows = []wigeonshift.TableRow{{Key: "config", Value: []byte(`{"version":1}`), Revision: 1}}
	}
	return page, nil
}

func (s *holdingStore) Follow(
	context.Context, wigeonshift.RoutingTable, uint64, time.Duration,
) (wigeonshift.TablePage, error) {
	time.Sleep(s.hold)
	return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
}

func (s *holdingStore) PutInstance(context.Context, string, []byte) error { return nil }

func freeAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("Stop", func() {
	// Seed 35 of the soak: a stop overran its time, since it waited for a question to the store that is held for 15 s.
	It("doesn't wait for questions that the store holds", func() {
		settings := wigeonsetting.DefaultRelay()
		settings.Node = wigeonsetting.RelayNode{Name: "n", Zone: "z", Region: "r"}
		settings.Caller = wigeonsetting.RelayCaller{Listen: freeAddress(), Ready: freeAddress()}
		settings.Peer.Listen = freeAddress()
		settings.Drain.Timeout.Duration, settings.Drain.Notice.Duration = 3*time.Second, 50*time.Millisecond
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		g := wigeongateway.New(settings, wigeongateway.Platform{
			Store: &holdingStore{hold: 20 * time.Second}, Codec: platform.Codec{}, Dialect: platform.Dialect{},
		}, log)
		Expect(g.Start(context.Background())).To(Succeed())
		Eventually(g.Ready).Should(BeTrue())
		started := time.Now()
		Expect(g.Stop()).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", settings.Drain.Timeout.Duration))
	})
})

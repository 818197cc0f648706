package wigeonmember_test

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/services/wigeonmember"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonmember(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonmember")
}

var ctx = context.Background()

// pipeListener is an in-memory listener for the sessions of one node.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case p.conns <- b:
		return a, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	}
}

func ids(m *wigeonmember.Members) []string {
	var names []string
	for _, i := range m.Live() {
		names = append(names, i.ID)
	}
	return names
}

var _ = Describe("Membership", func() {
	It("corrects the outdated list by what it observes on sessions", func() {
		runtime.GC() // Empties the timer pool of yamux, whose timers must not be used in another synctest bubble.
		runtime.GC()
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			instance := func(id string) wigeonshift.Instance {
				return wigeonshift.Instance{ID: id, Address: id + ":1", State: wigeonshift.InstanceLive}
			}
			leaving := instance("leaving")
			leaving.State = wigeonshift.InstanceLeaving
			core := wigeonplatform.NewCore(wigeonplatform.WithListLag(time.Minute),
				wigeonplatform.WithInstances(instance("a"), instance("dead"), leaving))
			toA, toB := newPipeListener(), newPipeListener()
			a := wigeonsession.New(instance("a"), wigeonsession.WithListener(toA), wigeonsession.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				if address == "b:1" {
					return toB.dial(ctx, address)
				}
				return nil, errors.New("connection refused")
			}))
			b := wigeonsession.New(instance("b"), wigeonsession.WithListener(toB), wigeonsession.WithDial(toA.dial))
			m, other := wigeonmember.New(core, a), wigeonmember.New(core, b)
			for _, s := range []interface{ Start(context.Context) error }{a, b, m, other} {
				g.Expect(s.Start(ctx)).To(Succeed())
			}
			g.Expect(ids(m)).To(Equal([]string{"a", "dead"}), "leaving instances are not live")
			changed := m.Changed()

			core.PutInstance(instance("b"))
			g.Expect(b.Send(ctx, instance("a"), wigeonshift.ConfigurationAsk{})).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(changed).To(BeClosed())
			g.Expect(ids(m)).To(Equal([]string{"a", "b", "dead"}), "an instance that sent a message is live before the list contains it")

			g.Expect(a.Send(ctx, instance("dead"), wigeonshift.ConfigurationAsk{})).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(ids(m)).To(Equal([]string{"a", "b"}), "an instance that can't be dialled is not live")
			core.RemoveInstance("dead")
			time.Sleep(20 * time.Second)
			g.Expect(ids(m)).To(Equal([]string{"a", "b", "dead"}), "the dial failure expires while the list still contains the instance")

			core.SetFaults(wigeonplatform.Faults{Outage: true})
			time.Sleep(5 * time.Second)
			other.SetLeaving()
			time.Sleep(time.Second)
			g.Expect(ids(m)).To(Equal([]string{"a", "dead"}), "a leaving instance announces it itself, even while the platform is down")
			core.SetFaults(wigeonplatform.Faults{})
			time.Sleep(2 * time.Minute)
			g.Expect(ids(m)).To(Equal([]string{"a"}))
			for _, s := range []interface{ Stop(context.Context) error }{m, other, a, b} {
				g.Expect(s.Stop(ctx)).To(Succeed())
			}
		})
	})
})

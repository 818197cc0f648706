package wigeonslope

import (
	"context"
	"net"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"

	"github.com/samber/oops"
)

// meshNode is one node of a mesh. Of an instance it has only the peer network.
type meshNode struct {
	self    wigeonshift.Instance
	meter   meter
	network *wigeonsession.Network
}

// newMeshNode starts a peer network on loopback that counts its bytes.
func newMeshNode(ctx context.Context, id string) (*meshNode, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, oops.In("measure").Wrap(err)
	}
	n := &meshNode{self: wigeonshift.Instance{ID: id, Address: l.Addr().String(), State: wigeonshift.InstanceLive}}
	n.network = wigeonsession.New(n.self,
		wigeonsession.WithListener(&meteredListener{Listener: l, meter: &n.meter}), wigeonsession.WithDial(n.meter.dial))
	return n, n.network.Start(ctx)
}

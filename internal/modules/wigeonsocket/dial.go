package wigeonsocket

import (
	"context"
	"net"
	"time"
)

// keepAlive shows within three seconds that an idle connection has fallen silent, without traffic of the protocol above. Two probes
// are lost before it is given up, since a sound peer may be silent for a second.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a TCP connection that is probed while it is idle.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

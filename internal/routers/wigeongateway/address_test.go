package wigeongateway

import (
	"wigeonshift/internal/modules/wigeonsetting"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("The address at which others reach the listener for callers", func(listen, peer, advertise, want string) {
	Expect(callerAddress(wigeonsetting.Relay{
		Caller: wigeonsetting.RelayCaller{Listen: listen}, Peer: wigeonsetting.RelayPeer{Listen: peer, Advertise: advertise},
	})).To(Equal(want))
},
	Entry("is the one that it listens on", "192.0.2.1:80", "192.0.2.2:7600", "", "192.0.2.1:80"),
	Entry("has the host for peers if it listens on all", "0.0.0.0:80", "192.0.2.2:7600", "", "192.0.2.2:80"),
	Entry("has the advertised host", ":80", "0.0.0.0:7600", "192.0.2.3:7600", "192.0.2.3:80"),
	Entry("is unknown without a port", "nowhere", "192.0.2.2:7600", "", ""),
)

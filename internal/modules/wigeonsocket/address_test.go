package wigeonsocket

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("ParseAddress", func(text string, valid bool) {
	_, err := ParseAddress(text)
	if valid {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	Expect(err).To(MatchError(ErrAddress))
},
	Entry(nil, "192.0.2.1:80", true),
	Entry(nil, "127.0.0.1:65535", true),
	Entry(nil, "[2001:db8::1]:80", true),
	Entry(nil, "192.0.2.1:65536", false),
	Entry(nil, "192.0.2.1:99999", false),
	Entry(nil, "192.0.2.1:-1", false),
	Entry(nil, "192.0.2.1:0", false),
	Entry(nil, "192.0.2.1:http", false),
	Entry(nil, "192.0.2.1:", false),
	Entry(nil, "192.0.2.1", false),
	Entry(nil, "192.0.2.256:80", false),
	Entry(nil, "example.org:80", false),
	Entry(nil, "0.0.0.0:80", false),
	Entry(nil, "[::]:80", false),
	Entry(nil, "224.0.0.1:80", false),
	Entry(nil, "[fe80::1%eth0]:80", false),
	Entry(nil, "", false),
)

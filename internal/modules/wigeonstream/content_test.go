package wigeonstream_test

import (
	"wigeonshift/internal/modules/wigeonstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Content", func() {
	DescribeTable("recognizes the content type", func(header string, is bool) {
		Expect(wigeonstream.HasContentType([]byte(header))).To(Equal(is))
	},
		Entry(nil, "text/event-stream", true), Entry(nil, "Text/Event-Stream ; charset=utf-8", true),
		Entry(nil, "", false), Entry(nil, "text/plain", false), Entry(nil, "text/event-streams", false),
	)

	DescribeTable("recognizes the beginning of a stream", func(body string, is bool) {
		Expect(wigeonstream.MayBeginStream([]byte(body))).To(Equal(is))
	},
		Entry(nil, "", true), Entry(nil, "\r\n", true), Entry(nil, ":", true), Entry(nil, "d", true), Entry(nil, "data: x", true),
		Entry(nil, "id\n", true), Entry(nil, "\nretry:1", true), Entry(nil, "event: e\ndata: x", true),
		Entry(nil, "date", false), Entry(nil, "dat\n", false), Entry(nil, `{"data": 1}`, false), Entry(nil, "identity: x", false),
	)
})

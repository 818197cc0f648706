package wigeonfollow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsocket"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// linkBytesPerSecond is the rate of the link to the narrow store, linkPartBytes the size of the parts that its connections send in
	// turn.
	linkBytesPerSecond = 625_000
	linkPartBytes      = 8 << 10
	// largeRoutes is the number of routes of a version that takes the link for over half a second.
	largeRoutes = 1800
)

// narrowListener accepts connections that share a narrow link.
type narrowListener struct {
	net.Listener
	link sync.Mutex
}

func (l *narrowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &narrowConn{Conn: c, listener: l}, err
}

type narrowConn struct {
	net.Conn
	listener *narrowListener
}

func (c *narrowConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		part := p[written:min(len(p), written+linkPartBytes)]
		c.listener.link.Lock()
		time.Sleep(time.Second * time.Duration(len(part)) / linkBytesPerSecond)
		c.listener.link.Unlock()
		var n int
		n, err = c.Conn.Write(part)
		written += n
	}
	return written, err
}

// newNarrowStore starts an HTTP server that serves a store over a narrow link, and returns its address.
func newNarrowStore(s *fakeStore) string {
	GinkgoHelper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		table := map[string]wigeonshift.RoutingTable{"op": config, "servers": endpoints, "instances": instances}[q.Get("table")]
		after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		page, err := s.List(r.Context(), table)
		if q.Has("wait_ms") {
			page, err = s.Follow(r.Context(), table, after, time.Duration(wait)*time.Millisecond)
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writePage(w, page)
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server.Listener = &narrowListener{Listener: l}
	server.Start()
	DeferCleanup(server.Close)
	return l.Addr().String()
}

// writePage writes a page as the platform does.
func writePage(w http.ResponseWriter, page wigeonshift.TablePage) {
	type row struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"ver"`
	}
	rows := []row{}
	for _, r := range page.Rows {
		rows = append(rows, row{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": page.Revision, "now_ms": page.NowMillis})
}

// startNarrowFollower starts a follower of a store behind a narrow link, and waits until it has the first version.
func startNarrowFollower(s *fakeStore) *testFollower {
	GinkgoHelper()
	f := startFollowerOf(platform.NewStore(newNarrowStore(s), wigeonsocket.Dial), "i0", func(int) {})
	DeferCleanup(f.Stop)
	f.SetPeersHeard(2)
	Eventually(f.seenVersions).WithTimeout(5 * time.Second).ShouldNot(BeEmpty())
	return f
}

// largeVersion returns a configuration with largeRoutes routes.
func largeVersion(version int) string {
	var routes strings.Builder
	for n := range largeRoutes {
		if n > 0 {
			routes.WriteString(",")
		}
		fmt.Fprintf(&routes, `{"name":"route-%05d","host":"narrow.example","prefix":"/route-%05d/","service":"s","timeout_ms":15000,"padding":%q}`,
			n, n, strings.Repeat("x", 60))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s]}`, version, routes.String())
}

// Guards against answers that never arrive whole: each time that a peer told of something newer, the poll was dropped, its answer went on
// to take a part of the link, and so did that of the next one.
var _ = Describe("Following a store over a narrow link while peers tell of newer rows", func() {
	It("has a large version about as soon as the link can carry it, and endpoints beside it", func() {
		s := newFakeStore()
		s.put(config, "config", `{"version":1}`)
		s.put(endpoints, "a", ready)
		f := startNarrowFollower(s)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				f.RepollConfiguration()
				f.RepollEndpoints()
				time.Sleep(300 * time.Millisecond)
			}
		}()
		s.put(config, "config", largeVersion(5))
		s.put(endpoints, "a", leaving)
		Eventually(f.seenVersions).WithContext(ctx).Should(Equal([]uint64{1, 5}))
		Expect(f.readyIDs()).To(BeEmpty())
	})
})

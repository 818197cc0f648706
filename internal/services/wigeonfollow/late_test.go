package wigeonfollow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowStore answers each poll some time after it has the answer.
type slowStore struct {
	*fakeStore
	delay atomic.Int64
}

func (s *slowStore) Follow(
	ctx context.Context, table wigeonshift.RoutingTable, after uint64, wait time.Duration,
) (wigeonshift.TablePage, error) {
	page, err := s.fakeStore.Follow(ctx, table, after, wait)
	time.Sleep(time.Duration(s.delay.Load()))
	return page, err
}

// Guards against a poll that is cancelled and begun anew, each time that a peer tells of something newer, before it can be answered.
var _ = DescribeTable("Following a slow store while peers tell of newer rows", func(delay time.Duration) {
	synctest.Test(suiteT, func(t *testing.T) {
		g, s := NewWithT(t), &slowStore{fakeStore: newFakeStore()}
		s.put(config, "config", `{"version":1}`)
		s.put(endpoints, "a", ready)
		f := startFollowerOf(s, "i0", func(int) {})
		defer func() {
			f.Stop()
			time.Sleep(2 * delay) // Polls that nobody waits for end.
		}()
		f.SetPeersHeard(2)
		advance(5 * time.Second)
		s.delay.Store(int64(delay))
		s.put(config, "config", `{"version":5}`)
		s.put(endpoints, "a", leaving)
		for asked := time.Duration(0); asked <= delay; asked += 250 * time.Millisecond {
			advance(250 * time.Millisecond)
			f.RepollConfiguration()
			f.RepollEndpoints()
		}
		g.Expect(f.seenVersions()).To(Equal([]uint64{1, 5}))
		g.Expect(f.readyIDs()).To(BeEmpty())
	})
},
	Entry("answers take half a second", 500*time.Millisecond),
	Entry("answers take three quarters of a second", 750*time.Millisecond),
	Entry("answers take longer than the time limit of a repeated poll", 1200*time.Millisecond),
)

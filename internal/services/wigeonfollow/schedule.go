package wigeonfollow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wigeonshift"
)

const (
	// shortPollWait is how long the store holds a poll while too few peers are heard that would report what a silent connection
	// withholds.
	shortPollWait = 1200 * time.Millisecond
	// turnInterval is the time between two ends of polls for the configuration, over all instances. The first of them that gets
	// no response shows that connections to the store have fallen silent.
	turnInterval = 600 * time.Millisecond
	// longPollWait is how long the store holds a poll of the other tables. It grows by pollWaitPerInstance in a small fleet, so
	// that the polls of all instances together stay frequent enough. In a larger one, and until the instances are listed,
	// it is storePollLimit, the longest that the store allows: the turns find silent connections.
	longPollWait        = 15 * time.Second
	pollWaitPerInstance = 1250 * time.Millisecond
	storePollLimit      = 30 * time.Second
	// minPeersHeard is the number of peers of which one has another connection to the store than this instance, even if it is
	// about to stop.
	minPeersHeard = 2
)

// schedule decides how long the store holds polls without changes. It is a long time only while peers are heard: they report
// newer versions if the connection of a poll has fallen silent.
type schedule struct {
	// self is the ID of this instance.
	self string

	mu sync.Mutex
	// startedAt is the start of the service.
	startedAt time.Time
	// rank is the place of this instance among count listed ones, in an order that all instances share; -1 if it isn't listed.
	rank, count int
	// peersHeard is the number of peers that were heard lately.
	peersHeard int
	// storeTime is the time on the store's clock at storeTimeAt; zero if the store tells no time.
	storeTime   time.Duration
	storeTimeAt time.Time
}

// setInstances sets the listed instances. Their order follows a hash, so that neighbours are in different availability zones.
func (s *schedule) setInstances(instances []wigeonshift.Instance) {
	ids := make([]string, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(wigeonshift.RendezvousScore("poll", a), wigeonshift.RendezvousScore("poll", b)), cmp.Compare(a, b),
		)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rank, s.count = slices.Index(ids, s.self), len(ids)
}

// setPeersHeard sets the number of peers that were heard lately, and reports whether long polls can't be relied on any more.
func (s *schedule) setPeersHeard(n int) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.peersHeard >= minPeersHeard && n < minPeersHeard
	s.peersHeard = n
	return lost
}

// start records the start of the service.
func (s *schedule) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = time.Now()
}

// hearsPeers reports whether enough peers are heard that would report what a silent connection withholds.
func (s *schedule) hearsPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peersHeard >= minPeersHeard
}

// setStoreTime sets the time on the store's clock, in milliseconds.
func (s *schedule) setStoreTime(millis int64) {
	if millis == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeTime, s.storeTimeAt = time.Duration(millis)*time.Millisecond, time.Now()
}

// instanceCount returns the number of listed instances.
func (s *schedule) instanceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// turnWait returns the wait of a poll that ends at this instance's next turn. The turns of all instances follow each other on the
// store's clock.
func (s *schedule) turnWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peersHeard < minPeersHeard || s.rank < 0 {
		return shortPollWait
	}
	period := min(max(time.Duration(s.count)*turnInterval, shortPollWait), storePollLimit)
	turn := period / time.Duration(s.count)
	now := s.storeTime + time.Since(s.storeTimeAt)
	wait := (time.Duration(s.rank)*turn + period - now%period) % period
	if wait < turn/2 {
		wait += period
	}
	return min(wait, storePollLimit)
}

// longWait returns the wait of polls whose connections needn't show by themselves that they have fallen silent: a failed poll for
// the configuration makes all others repeat.
func (s *schedule) longWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 || s.count > maxSmallFleet {
		return storePollLimit
	}
	byCount := time.Duration(s.count) * pollWaitPerInstance
	return min(max(byCount, longPollWait), storePollLimit)
}

// guardedWait is longWait, or a short wait while too few peers are heard that would report newer rows. At the start peers are heard
// within shortPollWait; if not, the poll is repeated then.
func (s *schedule) guardedWait() time.Duration {
	s.mu.Lock()
	alone := s.peersHeard < minPeersHeard
	starting := time.Since(s.startedAt) < shortPollWait
	s.mu.Unlock()
	if alone && !starting {
		return shortPollWait
	}
	return s.longWait()
}

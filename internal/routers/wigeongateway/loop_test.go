package wigeongateway

import (
	"testing"
	"time"
)

func TestIsNoticeDue(t *testing.T) {
	for _, c := range []struct {
		name        string
		sinceLatest time.Duration
		loadChanged bool
		instances   int
		want        bool
	}{
		{"small fleet, changed", minNoticeInterval, true, 9, true},
		{"small fleet, unchanged", minNoticeInterval, false, 9, false},
		{"small fleet, unchanged for long", maxNoticeInterval, false, 9, true},
		{"fleet of several groups, changed", minNoticeInterval, true, maxFastNoticeInstances, true},
		{"large fleet, changed", minNoticeInterval, true, maxFastNoticeInstances + 1, false},
		{"large fleet, changed, second tick is early", minLargeFleetNoticeInterval - time.Millisecond, true, maxFastNoticeInstances + 1, true},
		{"large fleet, unchanged for long", maxNoticeInterval, false, maxFastNoticeInstances + 1, true},
	} {
		if got := isNoticeDue(c.sinceLatest, c.loadChanged, c.instances); got != c.want {
			t.Errorf("%s: isNoticeDue = %t, want %t", c.name, got, c.want)
		}
	}
}

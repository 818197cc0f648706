package wigeongateway

import (
	"testing"
	"time"
)

func TestIsNoticeDue(t *testing.T) {
	for _, c := range []struct {
		name                        string
		sinceLatest                 time.Duration
		loadChanged, hasOtherGroups bool
		want                        bool
	}{
		{"small fleet, changed", minNoticeInterval, true, false, true},
		{"small fleet, unchanged", minNoticeInterval, false, false, false},
		{"small fleet, unchanged for long", maxNoticeInterval, false, false, true},
		{"large fleet, changed", minNoticeInterval, true, true, false},
		{"large fleet, changed, second tick is early", minGroupNoticeInterval - time.Millisecond, true, true, true},
		{"large fleet, unchanged for long", maxNoticeInterval, false, true, true},
	} {
		if got := isNoticeDue(c.sinceLatest, c.loadChanged, c.hasOtherGroups); got != c.want {
			t.Errorf("%s: isNoticeDue = %t, want %t", c.name, got, c.want)
		}
	}
}

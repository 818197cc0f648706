package wigeongateway

import (
	"testing"
	"time"

	"wigeonshift"
)

func TestNoticeToOtherGroups(t *testing.T) {
	notice := wigeonshift.LoadNotice{ConfigurationVersion: 3, Leaving: []string{"a@1"}}
	if got := noticeToOtherGroups(notice, maxFastNoticeInstances); len(got.Leaving) != 1 {
		t.Errorf("up to %d instances, other groups hear of leaving endpoints", maxFastNoticeInstances)
	}
	got := noticeToOtherGroups(notice, maxFastNoticeInstances+1)
	if len(got.Leaving) != 0 || got.ConfigurationVersion != 3 {
		t.Errorf("beyond, they hear of all but these: %+v", got)
	}
}

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

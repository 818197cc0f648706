package wigeondispatch

import (
	"time"

	"wigeonshift"
)

const (
	// groupReportDelay is the time within which the members of a group know of a request that one of them has sent.
	groupReportDelay = 150 * time.Millisecond
	// placeTurn is the time after which the members of a group change places at an endpoint with a limit.
	placeTurn = 150 * time.Millisecond
)

// groupShare is this instance's place among the members of its group that share what an endpoint takes.
type groupShare struct {
	// place is zero for the member that comes first now. Each one sends only if more is left than the one before needs, because
	// their reports to each other are late.
	place int
	// members is the number of members, of which reporting can be reached, this one included.
	members, reporting int
}

// groupShareOf returns this instance's place among the members of its group at an endpoint. The members change places after each turn,
// by the wall clock. The places differ between endpoints.
func (s *State) groupShareOf(e *endpoint, turnLength time.Duration) groupShare {
	share := groupShare{members: 1, reporting: 1 + len(s.members)}
	own := wigeonshift.RendezvousScore(e.record.ID, s.settings.Instance)
	for _, id := range s.groupIDs {
		share.members++
		if wigeonshift.RendezvousScore(e.record.ID, id) > own {
			share.place++
		}
	}
	share.members = max(share.members, share.reporting)
	turn := s.wallClock().UnixMilli() / turnLength.Milliseconds()
	share.place = (share.place + int(turn%int64(share.members))) % share.members
	return share
}

package wigeondispatch

import "slices"

// maxLeavingReports bounds the leaving endpoints in a report.
const maxLeavingReports = 64

// leavingReports returns the endpoints that the list shows to be leaving, at most maxLeavingReports, sorted.
func (s *State) leavingReports() []string {
	var out []string
	for _, e := range s.endpoints {
		if e.record.Leaving {
			out = append(out, e.incarnation().String())
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxLeavingReports)]
}

// handlePeerLeaving marks the endpoints that another instance has seen listed as leaving. An instance that was cut off from the store
// learns of it from the store only after seconds. An incarnation that leaves doesn't come back.
func (s *State) handlePeerLeaving(peer string, reports []string) {
	if len(reports) == 0 {
		return
	}
	for _, e := range s.endpoints {
		if !e.record.Leaving && slices.Contains(reports, e.incarnation().String()) {
			e.record.Leaving = true
			s.emit(LeavingReported{EndpointID: e.record.ID, StartedAtMillis: e.record.StartedAtMillis, Peer: peer})
		}
	}
}

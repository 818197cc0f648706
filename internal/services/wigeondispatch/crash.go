package wigeondispatch

// requestCheck checks whether an endpoint still runs, unless a check is already under way.
func (s *State) requestCheck(e *endpoint) {
	if e.checking {
		return
	}
	e.checking = true
	s.emit(CheckEndpoint{
		EndpointID: e.record.ID, Address: e.record.Address, StartedAtMillis: e.record.StartedAtMillis,
	})
}

// handleEndpointChecked ends a check. It ignores the result for an earlier incarnation of the endpoint.
func (s *State) handleEndpointChecked(ev EndpointChecked) {
	e := s.endpoints[ev.EndpointID]
	if e == nil || e.record.StartedAtMillis != ev.StartedAtMillis {
		return
	}
	e.checking = false
}

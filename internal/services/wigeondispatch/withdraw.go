package wigeondispatch

// withdraw ends a request whose call has ended. What the request still holds is given back: at once if nothing runs, else when the
// attempts that the call has begun end. An attempt that the call hasn't begun ends now, because nobody would report its end.
func (s *State) withdraw(ev RequestWithdrawn) {
	j := s.jobs[ev.Job]
	if j == nil {
		return
	}
	j.isOver = true
	if ev.IsUnstarted && j.assignedEndpoint != nil {
		if !j.mayHaveRun {
			s.refund(j)
		}
		s.cancelResend(j)
		s.endAttempt(AttemptEnded{At: ev.At, Job: j.ID, Outcome: OutcomeDelayed, Hedge: j.isHedge})
		return
	}
	if j.assignedEndpoint != nil {
		return
	}
	s.endPassing(j)
	if s.pool(j.Service).queue.remove(j) {
		s.refund(j)
	}
	s.forget(j)
}

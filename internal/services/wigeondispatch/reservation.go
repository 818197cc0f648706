package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonforecast"
)

const (
	// minRetryAfter is the minimum retry delay in a refusal, unless the longest delay that callers follow is shorter.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterDivisor divides the time left until a request's deadline to get the longest retry delay that callers still
	// follow.
	retryAfterDivisor = 3.2
	// The retry delays of different callers differ by up to retryJitterShare of the longest delay, in retryJitterSteps steps, while no
	// endpoint is available.
	retryJitterShare = 0.5
	retryJitterSteps = 16
	// expectedReturnShare is the share of the expected work that counts against a return time.
	expectedReturnShare = 0.8
)

// returnTime is what a refused caller is told.
type returnTime struct {
	wait time.Duration
	// isReserved is set if a slot is reserved for the caller then. before is the number of reservations that were made earlier.
	isReserved bool
	before     int
}

// returnTime returns the delay after which the caller of a refused request should return, and reserves a slot for it. It is the
// earliest time at which a slot becomes free that isn't needed by requests that are queued or expected before it and isn't
// reserved. If the caller doesn't follow a delay up to then, the wait is zero, which advises it not to return.
func (s *State) returnTime(p *pool, j *Job, b backlog) returnTime {
	longest := time.Duration(float64(j.Deadline-s.now) / retryAfterDivisor)
	earliest := min(minRetryAfter, longest)
	if s.forecastOf(p).IsEmpty() {
		return returnTime{wait: max(spreadWait(longest, j.ID), earliest)}
	}
	reservations := &p.capacity.reservations
	before := reservations.Len()
	level := p.reservedLevel(j)
	start := s.forecastOf(p).StartAfter(earliest, wigeonforecast.Competition{
		Taken:    p.takenUpTo(level, b),
		Expected: s.expectedBefore(p, p.newLevelOf(j)+1).Times(expectedReturnShare),
		Reserved: reservations.Ahead(level, s.now),
	})
	if start.BeyondHorizon || start.Wait > longest {
		return returnTime{before: before}
	}
	r := returnTime{wait: max(start.Wait, earliest), before: before}
	if j.Fingerprint != 0 && !j.isCallerRetry() {
		r.isReserved = reservations.Add(wigeonforecast.Reservation{
			Caller: j.Fingerprint, Level: level, MadeAt: s.now, At: s.now + r.wait, IsOwn: true,
		})
	}
	return r
}

// spreadWait returns a delay from half of the longest one up to that. It differs by the job ID, so that callers don't all return at once
// and those of earlier requests return first.
func spreadWait(longest time.Duration, id JobID) time.Duration {
	jitter := retryJitterShare * float64(id%retryJitterSteps) / retryJitterSteps
	return time.Duration(float64(longest) * (1 - retryJitterShare + jitter))
}

// reservedLevel returns the priority level of a request whose caller returns as told.
func (p *pool) reservedLevel(j *Job) int {
	returned := *j
	returned.isReserved = true
	return p.priorityLevel(&returned, 0)
}

// newLevelOf returns the priority level of a request that has just arrived for the first time.
func (p *pool) newLevelOf(j *Job) int {
	fresh := *j
	fresh.Elapsed = 0
	fresh.isReserved = false
	return p.priorityLevel(&fresh, 0)
}

// takeReservation uses the reservation of a caller that returns, if there is one.
func (s *State) takeReservation(p *pool, j *Job) {
	if j.Fingerprint == 0 || !j.isCallerRetry() {
		return
	}
	found, holds := p.capacity.reservations.Take(j.Fingerprint, s.now)
	j.isReserved = found && holds
	if found {
		s.emit(CallerReturned{RequestID: j.RequestID, Service: j.Service, Kept: holds})
	}
}

// expireReservations removes the reservations whose callers haven't returned in time.
func (s *State) expireReservations() {
	for _, p := range s.pools {
		p.capacity.reservations.Expire(s.now)
	}
}

// reservationReports returns the newest reservations of this instance for the other instances.
func (s *State) reservationReports() []wigeonshift.ReturnReservation {
	var out []wigeonshift.ReturnReservation
	for name, p := range s.pools {
		for _, r := range p.capacity.reservations.ForNotice(s.now) {
			out = append(out, wigeonshift.ReturnReservation{
				Service: name, Caller: r.Caller, Level: r.Level, Age: s.now - r.MadeAt, In: max(r.At-s.now, 0),
			})
		}
	}
	return out
}

// adoptReservations adds the reservations that another instance has made. Those of another group take no slots of this one.
func (s *State) adoptReservations(reports []wigeonshift.ReturnReservation, inGroup bool) {
	for _, r := range reports[:min(len(reports), wigeonforecast.MaxReservations)] {
		p := s.pools[r.Service]
		if p == nil || r.Caller == 0 || r.Level < 0 || r.Level >= priorityLevels {
			continue
		}
		p.capacity.reservations.Add(wigeonforecast.Reservation{
			Caller: r.Caller, Level: r.Level, MadeAt: s.now - r.Age, At: s.now + r.In, Elsewhere: !inGroup,
		})
	}
}

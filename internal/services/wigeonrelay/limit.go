package wigeonrelay

import (
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
)

// limitFields returns the log fields of the limit of the endpoint that a request is sent to, and of limits that held it back.
func limitFields(d wigeondispatch.Dispatch) logrus.Fields {
	fields := logrus.Fields{}
	if d.IsLimited {
		fields["limit"] = d.RequestsPerSecond
	}
	if d.LimitHolds > 0 {
		fields["limitHolds"] = d.LimitHolds
	}
	return fields
}

// logLimit logs and counts that an endpoint has named a limit, has changed it or no longer names one.
func (d *Dispatcher) logLimit(x wigeondispatch.LimitRecorded) {
	entry := d.log.WithFields(logrus.Fields{
		"endpoint": x.EndpointID, "startedAt": x.StartedAtMillis, "request": x.RequestID, "limit": x.RequestsPerSecond,
		"sent": x.Sent, "limitedMs": x.Duration.Milliseconds(), "held": x.Held, "members": x.Members, "reporting": x.Reporting,
		"ageMs": x.Age.Milliseconds(),
	})
	if x.Ended {
		d.scope.Counter("endpointLimitsEnded").Inc(1)
		d.scope.Counter("limitHolds").Inc(int64(x.Held))
		entry.Info("endpoint no longer names a limit")
		return
	}
	d.scope.Counter("endpointLimits").Inc(1)
	entry.Info("endpoint names a limit")
}

// logBrittle logs and counts that the endpoints of a service have become brittle, or no longer are.
func (d *Dispatcher) logBrittle(x wigeondispatch.BrittleRecorded) {
	entry := d.log.WithFields(logrus.Fields{
		"service": x.Service, "endpoint": x.EndpointID, "rejectionsPerSecond": x.RejectionsPerSecond, "rejected": x.Rejected, "held": x.Held,
		"brittleMs": x.Duration.Milliseconds(),
	})
	if x.Ended {
		d.scope.Counter("brittleRejections").Inc(int64(x.Rejected))
		entry.Info("endpoints of a service are no longer brittle")
		return
	}
	d.scope.Counter("brittleServices").Inc(1)
	entry.Info("endpoints of a service are brittle")
}

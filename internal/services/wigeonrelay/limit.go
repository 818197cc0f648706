package wigeonrelay

import (
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
)

// limitFields returns the log fields of the limit of the endpoint that a request is sent to; none if it names no limit.
func limitFields(d wigeondispatch.Dispatch) logrus.Fields {
	if !d.IsLimited {
		return nil
	}
	return logrus.Fields{"limit": d.RequestsPerSecond}
}

// logLimit logs and counts that an endpoint has named a limit, has changed it or no longer names one.
func (d *Dispatcher) logLimit(x wigeondispatch.LimitRecorded) {
	entry := d.log.WithFields(logrus.Fields{
		"endpoint": x.EndpointID, "startedAt": x.StartedAtMillis, "request": x.RequestID, "limit": x.RequestsPerSecond,
		"sent": x.Sent, "limitedMs": x.Duration.Milliseconds(),
	})
	if x.Ended {
		d.scope.Counter("endpointLimitsEnded").Inc(1)
		entry.Info("endpoint no longer names a limit")
		return
	}
	d.scope.Counter("endpointLimits").Inc(1)
	entry.Info("endpoint names a limit")
}

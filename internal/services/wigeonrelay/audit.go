package wigeonrelay

import (
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
)

// logAudit logs and counts what an audit of the reducer has mended. Each line shows a fault.
func (d *Dispatcher) logAudit(e wigeondispatch.Effect) {
	switch x := e.(type) {
	case wigeondispatch.RequestReclaimed:
		d.scope.Counter("requestsReclaimed").Inc(1)
		d.log.WithFields(logrus.Fields{
			"request": x.RequestID, "endpoint": x.EndpointID, "peer": x.Peer, "ageMs": x.Age.Milliseconds(), "withdrawn": x.IsWithdrawn,
		}).Warn("request that nobody waits for held a place, which is free again")
	case wigeondispatch.CountCorrected:
		d.scope.Tagged(map[string]string{"count": string(x.Count)}).Counter("countsCorrected").Inc(1)
		d.log.WithFields(logrus.Fields{"count": x.Count, "of": x.Of, "from": x.From, "to": x.To}).
			Warn("count differed from the requests that are known and is corrected")
	}
}

package wigeonentry

import (
	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// logger returns a log with the fields of the request.
func (f *flight) logger() logrus.FieldLogger {
	return f.service.log.WithFields(requestFields(f.ask))
}

func requestFields(ask wigeonshift.PermitRequest) logrus.Fields {
	return logrus.Fields{
		"requestId":    ask.ID,
		"product":      ask.Product,
		"organisation": ask.Organisation,
		"tier":         ask.Tier,
		"attempt":      ask.Attempt,
	}
}

// logEnd logs a request that ended without its whole answer.
func (f *flight) logEnd() {
	r := f.result.Refusal
	if r == nil {
		return
	}
	f.logger().WithFields(logrus.Fields{"reason": r.Reason, "state": r.State}).Info("request refused")
}

package wigeonentry

import (
	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// logger returns a logger with the request's fields.
func (h *requestHandler) logger() logrus.FieldLogger {
	return h.service.log.WithFields(requestFields(h.permitRequest))
}

func requestFields(pr wigeonshift.PermitRequest) logrus.Fields {
	return logrus.Fields{
		"requestId":    pr.ID,
		"product":      pr.Product,
		"organisation": pr.Organisation,
		"tier":         pr.Tier,
		"attempt":      pr.Attempt,
	}
}

// logRefusal logs the request if it was refused or its answer is incomplete.
func (h *requestHandler) logRefusal() {
	r := h.result.Refusal
	if r == nil {
		return
	}
	h.logger().WithFields(logrus.Fields{"reason": r.Reason, "state": r.State}).Info("request refused")
}

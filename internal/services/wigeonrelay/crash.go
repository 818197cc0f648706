package wigeonrelay

import (
	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonquarantine"

	"github.com/sirupsen/logrus"
)

// noCrashRecorder is the CrashRecorder of an instance without others.
type noCrashRecorder struct{}

func (noCrashRecorder) ReportCrash(wigeonshift.Crash) {}

func (noCrashRecorder) ReportAnswer(wigeonshift.FeatureAnswer) {}

func (noCrashRecorder) ClearCrashes(wigeonshift.Fingerprint) {}

// reportCrash logs the crash of an endpoint under a request and shares it with the other instances.
func (d *Dispatcher) reportCrash(x wigeondispatch.ReportCrash) {
	d.scope.Counter("crashes").Inc(1)
	if x.Quarantined {
		d.scope.Counter("quarantined").Inc(1)
	}
	d.log.WithFields(logrus.Fields{
		"fingerprint": x.Crash.Fingerprint.String(), "content": x.Crash.Shared.Content.String(), "endpoint": x.Crash.Endpoint, "crashes": x.Crashes,
		"features":    wigeonquarantine.FingerprintTexts(x.Crash.Features),
		"quarantined": x.Quarantined, "midRun": x.Crash.MidRun,
	}).Warn("endpoint crashed under a request")
	d.crashes.ReportCrash(x.Crash)
}

// logTrial logs and counts a trial.
func (d *Dispatcher) logTrial(x wigeondispatch.StartTrial) {
	d.scope.Counter("trials").Inc(1)
	entry := d.log.WithFields(logrus.Fields{
		"request": x.RequestID, "fingerprint": x.Fingerprint.String(), "content": x.Shared.Content.String(), "answers": x.Answers,
	})
	if x.Cause != nil {
		entry.WithFields(causeFields(x.Cause)).Info("request suspected by its features is tried")
		return
	}
	entry.Info("request suspected by its content is tried")
}

// causeFields returns the log fields of a cause of crashes.
func causeFields(c *wigeonquarantine.Cause) logrus.Fields {
	fields := logrus.Fields{
		"cause": wigeonquarantine.FingerprintTexts(c.Features), "certain": c.Certain, "crashed": c.Endpoints, "latestCrash": c.LatestAt,
	}
	if !c.AnsweredAt.IsZero() {
		fields["causeAnswered"] = c.AnsweredAt
	}
	return fields
}

// reportAnswer shares the answer of a feature that several crashes have in common.
func (d *Dispatcher) reportAnswer(x wigeondispatch.ReportAnswer) {
	d.scope.Counter("featuresAnswered").Inc(1)
	d.log.WithField("feature", x.Answer.Feature.String()).Info("feature of several crashes was answered")
	d.crashes.ReportAnswer(x.Answer)
}

// clearCrashes logs that a request did not cause the crashes that were reported for it, and removes them.
func (d *Dispatcher) clearCrashes(x wigeondispatch.ClearCrashes) {
	d.scope.Counter("crashesCleared").Inc(1)
	d.log.WithField("fingerprint", x.Fingerprint.String()).Info("request ran to its end and is cleared of crashes")
	d.crashes.ClearCrashes(x.Fingerprint)
}

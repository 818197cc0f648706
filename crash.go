package wigeonshift

import "time"

// Crash reports that an endpoint crashed while it had a request, which may have caused the crash.
type Crash struct {
	// Fingerprint is that of the whole request, Shared holds those of what it has in common with others.
	Fingerprint Fingerprint
	Shared      SharedFingerprints
	// Features identify what else the request may have in common with others, such as the parts of its prompt.
	Features []Fingerprint
	// Endpoint identifies the endpoint and its incarnation, so that each crash of an endpoint counts once.
	Endpoint string
	// MidRun is set if the endpoint had run the request for some time, which makes the request an unlikely cause. It counts
	// half.
	MidRun bool
	// At is the time of the crash by the clock of the instance that noticed it.
	At time.Time
}

// FeatureAnswer reports that a request with a feature ran to its end, so that the feature did not cause earlier crashes.
type FeatureAnswer struct {
	Feature Fingerprint
	// At is the time of the answer by the clock of the instance that received it.
	At time.Time
}

// CrashEvidence is what instances know of crashes and of what they had in common.
type CrashEvidence struct {
	Crashes []Crash
	// Answers holds the latest answer of each feature of several crashes.
	Answers []FeatureAnswer
}

// CrashRecorder shares crashes with the other instances. Its methods must not block.
type CrashRecorder interface {
	// ReportCrash adds a crash.
	ReportCrash(c Crash)
	// ReportAnswer adds an answer.
	ReportAnswer(a FeatureAnswer)
	// ClearCrashes removes all crashes of a request that has run to its end and is thus not their cause.
	ClearCrashes(f Fingerprint)
}

package wigeonshift

// Liveness is the result of a check whether the process of an endpoint still runs.
type Liveness int

// Results of a check.
const (
	// LivenessUnknown means that the endpoint's address did not answer in time.
	LivenessUnknown Liveness = iota
	// LivenessRunning means that the endpoint holds a connection open or accepts a new one.
	LivenessRunning
	// LivenessEnded means that nothing listens at the endpoint's address any more.
	LivenessEnded
)

var livenessNames = [...]string{"unknown", "running", "ended"}

// String returns the name of the result in logs and metrics.
func (l Liveness) String() string { return livenessNames[l] }

package wigeonquarantine

import "wigeonshift"

// crashCount is the largest number of crashes of one request among those that were at the crash of an endpoint.
type crashCount struct {
	crashes int
	// request is the one with that number; zero if several have it.
	request wigeonshift.Fingerprint
}

// explainsBest reports whether, at each endpoint that crashed under a request, no other request was at as many crashes. One that merely ran
// beside the cause was at fewer than that.
func (r *Record) explainsBest(f wigeonshift.Fingerprint) bool {
	if len(r.crashes[f]) < 2 {
		return false
	}
	most := r.mostCrashes()
	for _, c := range r.crashes[f] {
		if most[c.Endpoint].request != f {
			return false
		}
	}
	return true
}

// mostCrashes returns the request with the most crashes at each endpoint.
func (r *Record) mostCrashes() map[string]crashCount {
	if r.mostCrashed != nil {
		return r.mostCrashed
	}
	r.mostCrashed = map[string]crashCount{}
	for f, crashes := range r.crashes {
		for _, c := range crashes {
			most := r.mostCrashed[c.Endpoint]
			switch {
			case len(crashes) > most.crashes:
				r.mostCrashed[c.Endpoint] = crashCount{crashes: len(crashes), request: f}
			case len(crashes) == most.crashes:
				r.mostCrashed[c.Endpoint] = crashCount{crashes: len(crashes)}
			}
		}
	}
	return r.mostCrashed
}

// Package wigeonsoak holds a randomized soak that runs relays as separate processes before stand-ins of the platform and
// of endpoints, injects faults from outside, and checks what callers and endpoints see. It consists of tests only:
//
//	WIGEONSHIFT_SOAK_SEEDS=50 WIGEONSHIFT_SOAK_SECONDS=20 go test -timeout 60m ./internal/soak/...
package wigeonsoak

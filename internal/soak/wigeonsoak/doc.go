// Package wigeonsoak contains a randomized soak test. It runs relays as separate processes between callers and stand-in
// endpoints, with a stand-in store, injects faults from outside, and checks what callers and endpoints observe. It
// consists of tests only:
//
//	WIGEONSHIFT_SOAK_SEEDS=50 WIGEONSHIFT_SOAK_SECONDS=20 go test -timeout 60m ./internal/soak/...
package wigeonsoak

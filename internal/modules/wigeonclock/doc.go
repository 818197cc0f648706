// Package wigeonclock provides waits that end early when a context is done.
package wigeonclock

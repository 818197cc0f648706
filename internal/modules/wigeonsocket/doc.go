// Package wigeonsocket checks the state of connections without consuming data.
package wigeonsocket

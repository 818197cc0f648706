// Package wigeondispatch decides for one entry instance which endpoint runs a request, which requests wait and which
// are refused. It is a pure reducer: events in, effects out. It reads no clock, does no I/O and draws no random number.
//
// Every instance decides for the requests that it holds. Instances tell each other how many requests they run on each
// endpoint and what each organisation has used, so that all of them see nearly the same load.
package wigeondispatch

// Package wigeondispatch decides for one entry instance which endpoint runs a request, which requests are queued and
// which are refused. It is a pure reducer that turns events into effects: it reads no clock, does no I/O and uses no
// random numbers.
//
// Every instance decides only for the requests that it received itself. Instances report to each other how many requests
// they run on each endpoint and what each organisation has used, so that all of them see nearly the same load.
package wigeondispatch

// Package wigeonforecast predicts when a request to a service can start. A Forecast is filled with the slots of the
// service's endpoints and answers when a number of them have become free. The package does no I/O and reads no clock.
package wigeonforecast

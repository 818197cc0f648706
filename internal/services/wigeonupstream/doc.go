// Package wigeonupstream carries single requests to endpoints over kept connections. It sends nothing twice and tells
// for every exchange whether the endpoint may have read the request.
package wigeonupstream

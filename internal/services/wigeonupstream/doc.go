// Package wigeonupstream sends single requests to endpoints over pooled keep-alive connections. It never retries, and it
// reports for every exchange whether the endpoint may have read the request.
package wigeonupstream

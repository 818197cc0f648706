// Package wigeonshift holds the domain data and the interfaces of a request
// scheduler for unlike engines.
//
// Everything that varies (the platform's services, endpoints, the transport
// between instances) is an interface here; implementations live below
// internal/. Data is plain structs whose invariants stand at their fields.
package wigeonshift

// Package wigeonshift defines the domain types and interfaces of a request
// scheduler for heterogeneous engines.
//
// Everything that varies (the platform's services, endpoints, the transport
// between instances) is an interface here; the implementations are in
// internal/ and platform/. Data types are plain structs that document their
// invariants at their fields.
package wigeonshift

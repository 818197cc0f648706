// Package wigeonfollow follows the tables of the platform's store on which routing depends and hands on what they say:
// the configuration, the endpoints and the instances. A version of the configuration is never taken back.
package wigeonfollow

// Package wigeonfollow watches the tables of the platform's store that routing depends on (configuration, endpoints and
// instances) and passes their changes to the caller. It never replaces a configuration with an older version.
package wigeonfollow

// Package wigeonstream follows the events in the bytes of an event stream (text/event-stream), to tell whether the stream
// ends after an event or inside one.
package wigeonstream

// Package forwarder is the fault proxy between entry processes: it delays, silently drops, cuts one direction and closes.
package forwarder

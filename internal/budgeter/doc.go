// Package budgeter decides how much a process may hold for requests that it has not received in full. It addresses clients that
// open many connections and stop just short of the end of their requests: it bounds the bytes and the connections, chooses what
// is evicted where a bound is reached, and finds requests that make no progress. It has no clock and no goroutine, and is not
// safe for concurrent use.
package budgeter

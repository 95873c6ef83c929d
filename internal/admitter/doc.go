// Package admitter decides under overload in which order the waiting jobs of a cell start, which jobs are refused at their
// arrival and which of the waiting ones later, and when their clients may return. It answers demand of several times the
// capacity, for some seconds or for long, bursts of one queue or of one failure domain, and clients that return after
// refusals.
//
// It takes effect for the jobs of a service whose queues differ in priority. It is a deterministic state machine without
// goroutines, clocks or I/O.
package admitter

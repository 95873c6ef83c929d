// Package estimator learns run times by service and task, classifies tasks as short or long, and measures the error
// of predicted waits. It has no goroutines, clocks or I/O: time and results are arguments.
package estimator

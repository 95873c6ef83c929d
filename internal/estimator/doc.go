// Package estimator learns run times by service and task, tells short tasks from long ones, and measures the error of
// predicted waits. It is pure: time and results are arguments.
package estimator

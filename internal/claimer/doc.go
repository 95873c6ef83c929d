// Package claimer records which cell has a job. A job's home cell depends on the failure domain in which its client sends
// it, so a client that sends it again in another one reaches another owner. Each owner therefore claims a job, before it
// starts it, at cells that follow from the job's id alone, and learns there which cell has it.
//
// It is a deterministic state machine without goroutines, clocks or I/O.
package claimer

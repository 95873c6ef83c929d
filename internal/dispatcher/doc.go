// Package dispatcher runs the event loop of a failure domain's owner: it owns the scheduler and the unfinished
// submissions, passes task attempts to the sender and assembles each submission's answer.
package dispatcher

// Package dispatcher is the thread of a failure domain's owner: it owns the scheduler and the running submissions,
// hands starts to the sender and assembles each submission's answer.
package dispatcher

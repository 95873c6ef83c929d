package claimer

import "time"

const (
	// repeatInterval is the time between two repeated claims of an owner: 200 a second.
	repeatInterval = 5 * time.Millisecond
	// maxRepeatTime is how long the claims that are due at once may be spread. A register records only repeated claims for 0.3 s
	// after it is new; what comes later may find the job given to another cell.
	maxRepeatTime = 200 * time.Millisecond
)

// RepeatAfter returns how long the i-th of n claims that are repeated at once waits. It answers the moment after a change of a
// register's owner or the end of a partition, in which new claims would otherwise queue behind all those that are repeated.
func RepeatAfter(i, n int) time.Duration {
	return time.Duration(i) * min(repeatInterval, maxRepeatTime/time.Duration(max(n, 1)))
}

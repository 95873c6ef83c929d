package waiter

import (
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tick is the precision of waits: those that end within the same tick end together.
const tick = 50 * time.Microsecond

var (
	// pendingMu guards pending and lateness.
	pendingMu sync.Mutex
	// pending maps a tick, counted from epoch, to the channels that are closed in it.
	pending   = map[int64][]chan struct{}{}
	epoch     = time.Now()
	startOnce sync.Once
	// lateness holds microseconds.
	lateness = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
)

// At returns a channel that is closed at the time t.
func At(t time.Time) <-chan struct{} {
	startOnce.Do(func() { go runTicks() })
	done := make(chan struct{})
	pendingMu.Lock()
	defer pendingMu.Unlock()
	endTick := int64(max(t.Sub(epoch), time.Since(epoch))/tick) + 1
	pending[endTick] = append(pending[endTick], done)
	return done
}

// Until waits for the time t.
func Until(t time.Time) {
	if time.Now().Before(t) {
		<-At(t)
	}
}

// Lateness returns the 99th percentile of how late the waits since the last call ended. It is the part of every
// measured latency that the load generator's machine has caused and not the system under test.
func Lateness() time.Duration {
	pendingMu.Lock()
	defer pendingMu.Unlock()
	defer lateness.Reset()
	return time.Duration(lateness.ValueAtQuantile(99)) * time.Microsecond
}

// runTicks closes the channels of each tick. It sleeps in the kernel on a thread of its own, as the runtime's timers
// round.
func runTicks() {
	runtime.LockOSThread()
	ts := syscall.NsecToTimespec(tick.Nanoseconds())
	for n := int64(0); ; {
		_ = syscall.Nanosleep(&ts, nil)
		pendingMu.Lock()
		for now := time.Since(epoch); n <= int64(now/tick); n++ {
			for _, done := range pending[n] {
				// RecordValue fails only for a value above one minute, by which no wait is late on a running machine.
				_ = lateness.RecordValue((now - time.Duration(n)*tick).Microseconds())
				close(done)
			}
			delete(pending, n)
		}
		pendingMu.Unlock()
	}
}

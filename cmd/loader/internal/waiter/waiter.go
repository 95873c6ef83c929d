package waiter

import (
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tick is the precision: waits that end in the same tick end together.
const tick = 50 * time.Microsecond

var (
	mu      sync.Mutex
	pending = map[int64][]chan struct{}{}
	epoch   = time.Now()
	once    sync.Once
	late    = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
)

// At returns a channel that is closed at the time t.
func At(t time.Time) <-chan struct{} {
	once.Do(func() { go poll() })
	done := make(chan struct{})
	mu.Lock()
	defer mu.Unlock()
	n := int64(max(t.Sub(epoch), time.Since(epoch))/tick) + 1
	pending[n] = append(pending[n], done)
	return done
}

// Until waits for the time t.
func Until(t time.Time) {
	if time.Now().Before(t) {
		<-At(t)
	}
}

// Lateness returns how late the waits since the last call ended, at the 99th percentile. It is the part of every
// latency that the machine and not the system under test has caused.
func Lateness() time.Duration {
	mu.Lock()
	defer mu.Unlock()
	defer late.Reset()
	return time.Duration(late.ValueAtQuantile(99)) * time.Microsecond
}

// poll sleeps in the kernel on a thread of its own, where the runtime does not round.
func poll() {
	runtime.LockOSThread()
	ts := syscall.NsecToTimespec(tick.Nanoseconds())
	for n := int64(0); ; {
		_ = syscall.Nanosleep(&ts, nil)
		mu.Lock()
		for now := time.Since(epoch); n <= int64(now/tick); n++ {
			for _, done := range pending[n] {
				// The histogram refuses what is later than a minute; no wait is while the machine runs at all.
				_ = late.RecordValue((now - time.Duration(n)*tick).Microseconds())
				close(done)
			}
			delete(pending, n)
		}
		mu.Unlock()
	}
}

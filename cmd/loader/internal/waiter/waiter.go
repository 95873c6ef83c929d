// Package waiter waits more precisely than the runtime's timers, whose wait in epoll is rounded up to a whole
// millisecond: four such waits in a request would add several per cent to a task of 50 ms.
package waiter

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pollEvery bounds how late a wait ends.
const pollEvery = 50 * time.Microsecond

type wait struct {
	at   time.Time
	done chan struct{}
}

type waits []wait

func (w waits) Len() int           { return len(w) }
func (w waits) Less(i, j int) bool { return w[i].at.Before(w[j].at) }
func (w waits) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waits) Push(x any)        { *w = append(*w, x.(wait)) }
func (w *waits) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

var (
	mu      sync.Mutex
	pending waits
	once    sync.Once
	late    = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
)

// Lateness returns how late the waits since the last call ended, at the median and the 99th percentile. It is the part
// of every latency that the machine and not the system under test has caused.
func Lateness() (p50, p99 time.Duration) {
	mu.Lock()
	defer mu.Unlock()
	at := func(q float64) time.Duration { return time.Duration(late.ValueAtQuantile(q)) * time.Microsecond }
	p50, p99 = at(50), at(99)
	late.Reset()
	return p50, p99
}

// At returns a channel that is closed at the time t.
func At(t time.Time) <-chan struct{} {
	done := make(chan struct{})
	once.Do(func() { go poll() })
	mu.Lock()
	heap.Push(&pending, wait{t, done})
	mu.Unlock()
	return done
}

// Until waits for the time t.
func Until(t time.Time) {
	if time.Now().Before(t) {
		<-At(t)
	}
}

// poll sleeps in the kernel on a thread of its own, where the runtime does not round.
func poll() {
	runtime.LockOSThread()
	ts := syscall.NsecToTimespec(pollEvery.Nanoseconds())
	for {
		_ = syscall.Nanosleep(&ts, nil)
		now := time.Now()
		mu.Lock()
		for len(pending) > 0 && !pending[0].at.After(now) {
			w := heap.Pop(&pending).(wait)
			// Beyond a minute the histogram refuses the value; no wait is that late while the machine runs at all.
			_ = late.RecordValue(now.Sub(w.at).Microseconds())
			close(w.done)
		}
		mu.Unlock()
	}
}

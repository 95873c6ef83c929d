// Package waiter waits more precisely than the runtime's timers, whose wait in epoll is rounded up to a whole
// millisecond: four such waits in a request would add several per cent to a task of 50 ms.
package waiter

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
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
)

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
			close(heap.Pop(&pending).(wait).done)
		}
		mu.Unlock()
	}
}

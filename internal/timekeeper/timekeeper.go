package timekeeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tickInterval is how often the process notes that it runs.
	tickInterval = 100 * time.Millisecond
	// maxGap is the longest time between two notes that counts as no pause. A busy VM of 0.2 cores delays a goroutine by some
	// tens of milliseconds, at most by 0.2 s.
	maxGap = 400 * time.Millisecond
	// driftTolerance is how far the time of day may move against the monotonic clock before the clock is read that counts
	// suspensions. The time of day is adjusted by far less at once, unless somebody sets it.
	driftTolerance = 20 * time.Millisecond
)

// Clocks reads the clocks of a VM.
type Clocks struct {
	// Now returns the time with a reading of the monotonic clock, and the time of day, read at the same moment.
	Now func() (monotonic, timeOfDay time.Time)
	// SinceBoot returns the time since the VM was booted, including the time for which it was suspended.
	SinceBoot func() (time.Duration, error)
}

// SystemClocks are the clocks of this VM.
func SystemClocks() Clocks { return Clocks{Now: now, SinceBoot: sinceBoot} }

func now() (monotonic, timeOfDay time.Time) {
	t := time.Now()
	return t, t.Round(0)
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Config configures a Timekeeper.
type Config struct {
	Clocks Clocks
	Log    *slog.Logger
}

// Timekeeper tells the time. The monotonic clock stands still while the VM is suspended, so that deadlines on it pass too
// late; Now adds that time. It is safe for concurrent use.
type Timekeeper struct {
	cfg Config
	// startedAt has a reading of the monotonic clock, and dayAtStart is the time of day at the same moment.
	startedAt, dayAtStart time.Time
	// bootOffset is what the clock since boot was ahead of the monotonic one at the start, and hasBoot whether it could be
	// read.
	bootOffset time.Duration
	hasBoot    bool
	// drift is how far the time of day had moved against the monotonic clock when suspended was last measured, in
	// nanoseconds, and suspended how long the VM was suspended since the start.
	drift, suspended atomic.Int64

	mu sync.Mutex
	// ranAt is when the process last noted that it runs, and resumedAt when it last resumed; zero before the first time.
	ranAt, resumedAt time.Time
}

// New returns a Timekeeper; Run starts the notes by which it detects pauses.
func New(cfg Config) *Timekeeper {
	k := &Timekeeper{cfg: cfg}
	k.startedAt, k.dayAtStart = cfg.Clocks.Now()
	boot, err := cfg.Clocks.SinceBoot()
	if err != nil {
		cfg.Log.Warn("Process cannot read the clock that counts suspensions of the VM; deadlines pass too late after one.", "error", err)
	}
	k.bootOffset, k.hasBoot = boot, err == nil
	return k
}

// Run notes that the process runs until ctx is done.
func (k *Timekeeper) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.mu.Lock()
			k.note()
			k.mu.Unlock()
		}
	}
}

// Now returns the time of day with a monotonic reading that includes the time for which the VM was suspended. A deadline
// that is computed from it must not be compared with time.Now.
func (k *Timekeeper) Now() time.Time {
	now, timeOfDay := k.cfg.Clocks.Now()
	if k.hasBoot {
		k.measure(now.Sub(k.startedAt), timeOfDay)
	}
	return now.Add(time.Duration(k.suspended.Load()))
}

// measure reads the clock since boot if the time of day has moved against the monotonic clock: by a suspension, or as
// somebody has set it. Reading it each time would cost a system call.
func (k *Timekeeper) measure(monotonic time.Duration, timeOfDay time.Time) {
	drift := timeOfDay.Sub(k.dayAtStart) - monotonic
	if change := drift - time.Duration(k.drift.Load()); change.Abs() < driftTolerance {
		return
	}
	// Noted last, so that nobody takes the suspension for counted before it is, and also after an error, so that it is logged
	// once for each move.
	defer k.drift.Store(int64(drift))
	boot, err := k.cfg.Clocks.SinceBoot()
	if err != nil {
		k.cfg.Log.Warn("Process could not read the clock that counts suspensions of the VM.", "error", err)
		return
	}
	suspended := boot - k.bootOffset - monotonic
	if before := time.Duration(k.suspended.Load()); suspended > before+driftTolerance {
		k.suspended.Store(int64(suspended))
		k.cfg.Log.Info("VM was suspended.", "for", suspended-before)
	}
}

// note records that the process runs, and a pause that has just ended. The caller holds k.mu.
func (k *Timekeeper) note() {
	now := k.Now()
	if gap := now.Sub(k.ranAt); !k.ranAt.IsZero() && gap > maxGap {
		k.resumedAt = now
		k.cfg.Log.Info("Process resumed after a pause.", "for", gap)
	}
	k.ranAt = now
}

// ResumedAt returns when the process last resumed after it could not run for a while; zero before the first time, and
// where Run was not called.
func (k *Timekeeper) ResumedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ranAt.IsZero() {
		k.note()
	}
	return k.resumedAt
}

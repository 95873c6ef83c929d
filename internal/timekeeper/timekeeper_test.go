package timekeeper

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"
)

// fakeClocks are clocks of a VM that tests suspend, and whose time of day they set.
type fakeClocks struct {
	monotonic, boot, dayOffset time.Duration
	bootReads                  int
}

// start has a monotonic reading, which time.Unix has not.
var start = time.Now()

func (c *fakeClocks) clocks() Clocks {
	return Clocks{
		Now: func() (time.Time, time.Time) {
			t := start.Add(c.monotonic)
			return t, t.Round(0).Add(c.dayOffset)
		},
		SinceBoot: func() (time.Duration, error) { c.bootReads++; return c.boot, nil },
	}
}

func (c *fakeClocks) run(d time.Duration) { c.monotonic += d; c.boot += d }

func (c *fakeClocks) suspend(d time.Duration) { c.boot += d; c.dayOffset += d }

func newTimekeeper(c *fakeClocks) *Timekeeper {
	return New(Config{Clocks: c.clocks(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

// TestSuspensionCounts guards against deadlines and leases that last longer by the time for which the VM was suspended,
// which the monotonic clock does not count, and against a set time of day that counts as one.
func TestSuspensionCounts(t *testing.T) {
	c := &fakeClocks{boot: time.Hour}
	k := newTimekeeper(c)
	began := k.Now()
	for i, step := range []struct {
		do   func()
		want time.Duration
	}{
		{func() { c.run(time.Second) }, time.Second},
		{func() { c.suspend(5 * time.Second) }, 6 * time.Second},
		{func() { c.run(time.Second) }, 7 * time.Second},
		{func() { c.dayOffset -= 30 * time.Second }, 7 * time.Second},
		{func() { c.suspend(time.Second) }, 8 * time.Second},
		{func() { c.dayOffset += 30 * time.Second }, 8 * time.Second},
	} {
		step.do()
		if got := k.Now().Sub(began); (got - step.want).Abs() > driftTolerance {
			t.Fatalf("step %d: %v have passed, want %v", i, got, step.want)
		}
	}
	reads := c.bootReads
	for range 1000 {
		c.run(time.Millisecond)
		k.Now()
	}
	if c.bootReads != reads {
		t.Fatalf("%d system calls without a suspension", c.bootReads-reads)
	}
}

// TestResumedAt guards against a pause of the process that goes unnoticed before the first goroutine that asks.
func TestResumedAt(t *testing.T) {
	c := &fakeClocks{}
	k := newTimekeeper(c)
	if !k.ResumedAt().IsZero() {
		t.Fatal("a process has resumed that does not note when it runs")
	}
	k.ranAt = k.Now()
	for name, pause := range map[string]func(){
		"stopped":   func() { c.run(3 * time.Second) },
		"suspended": func() { c.suspend(3 * time.Second) },
	} {
		for range 20 {
			c.run(tickInterval)
			before := k.resumedAt
			if got := k.ResumedAt(); got != before {
				t.Fatalf("%s: resumed at %v without a pause", name, got)
			}
		}
		pause()
		now := k.Now()
		if got := k.ResumedAt(); got != now {
			t.Fatalf("%s: resumed at %v, want %v", name, got, now)
		}
	}
}

// TestSystemClocks guards against a clock since boot that cannot be read on this platform.
func TestSystemClocks(t *testing.T) {
	before, err := SystemClocks().SinceBoot()
	if err != nil || before <= 0 {
		t.Fatalf("time since boot: %v, error %v", before, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	k := New(Config{Clocks: SystemClocks(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	k.Run(ctx)
	if d := time.Since(k.Now()).Abs(); d > time.Second {
		t.Fatalf("the time is off by %v", d)
	}
}

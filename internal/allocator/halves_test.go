package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/imitator"
	"clementineyard/wire"
)

// TestOwnersOfTwoHalves guards against a second run when two owners each reach a half of the workers.
func TestOwnersOfTwoHalves(t *testing.T) {
	// After takerLost milliseconds a silent connection is detected. After takerGrace more, an owner drops the jobs of its taker.
	const takerLost, takerGrace = 800, 250
	for _, resubmitted := range []bool{false, true} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("resubmitted %v/%d", resubmitted, seed), func(t *testing.T) {
				s := &twoOwners{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, workers: map[string]*imitator.Worker{}, lengths: map[string]time.Duration{}, fences: map[string]uint64{}}
				ids := []string{"w0", "w1", "w2", "w3"}
				for _, id := range ids {
					s.workers[id] = imitator.New(s.now, 1, maxLease, stopDuration)
				}
				report := func(o *liveOwner) {
					for _, id := range ids {
						s.perform(o, o.a.Report(s.now, &wire.WorkerReport{Id: id, Born: 1, Sequence: 1, Service: "desk", Address: id, Millicores: workerMillicores}))
					}
				}
				former := s.newOwner(1)
				report(former)
				for range 400 {
					s.step(former)
				}
				var jobs []*allocator.Job
				for i := range 4 {
					j := &allocator.Job{
						ID: fmt.Sprintf("%016x", i), Queue: "q", Service: "desk", ArrivedAt: s.now, MaxAttempts: 3, StretchFactor: 10, TargetLatency: time.Minute,
						Taker: "t", Incarnation: 1, Steps: []allocator.Step{{Count: 1, Ask: allocator.Resources{Millicores: 5000}}},
					}
					s.lengths[j.ID] = 6 * time.Second
					jobs = append(jobs, j)
					s.perform(former, former.a.Submit(s.now, j))
				}
				for range 100 + s.rng.IntN(300) {
					s.step(former)
				}
				former.reaches["w0"], former.reaches["w1"], former.cutAt = false, false, s.now
				var successor *liveOwner
				// The voters replace an owner 0.7 s after its last watch, which was within 0.2 s before the cut.
				grantAfter := 500 + s.rng.IntN(250)
				for ms := range 3000 {
					switch {
					case ms == grantAfter:
						successor = s.newOwner(2)
						successor.reaches["w2"], successor.reaches["w3"] = false, false
						report(successor)
					case ms == takerLost+20 && resubmitted:
						for _, j := range jobs {
							again := *j
							again.MayHaveStarted = true
							s.perform(successor, successor.a.Submit(s.now, &again))
						}
					case ms == takerLost+takerGrace && resubmitted:
						s.perform(former, former.a.DropTaker(s.now, "t", 0))
					}
					if successor == nil {
						s.step(former)
					} else {
						s.step(former, successor)
					}
				}
			})
		}
	}
}

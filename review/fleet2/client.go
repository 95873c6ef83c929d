package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (b *job) body() []byte {
	out, _ := json.Marshal(map[string]any{"spec": b.spec, "phases": b.phases, "best-effort": true})
	return out
}

// newJob returns a job with the given steps.
func (f *fleet) newJob(zone string, phases ...phase) *job {
	b := &job{id: newID(), zone: zone, spec: "work <&> " + newID(), phases: phases}
	f.judge.add(b)
	return b
}

// chain returns steps of one task each, which run one after the other.
func chain(steps int, takes time.Duration, cpu int64) []phase {
	var out []phase
	for i := range steps {
		p := phase{Count: 1, CPU: cpu, Memory: 64, EstimateMS: takes.Milliseconds(), takes: takes}
		if i > 0 {
			p.DependsOn = []int{i - 1}
		}
		out = append(out, p)
	}
	return out
}

// submit hands a job in at a process, and again at others where no answer comes, as the platform's clients do. It returns
// the last status.
func (f *fleet) submit(ctx context.Context, b *job, at *node, patience time.Duration, again int) int {
	b.submittedAt = time.Now()
	for try := 0; ; try++ {
		f.record.add("submit", "job", b.id, "to", at.name, "try", try+1)
		tryCtx, cancel := context.WithTimeout(ctx, patience)
		status, body := f.callContext(tryCtx, patience, http.MethodPost, at.clients, pathPrefix+b.id, hostName, b.body())
		cancel()
		if ctx.Err() != nil {
			f.record.add("client-left", "job", b.id)
			f.judge.answered(b, at.name, 0, "client has left")
			return 0
		}
		f.judge.answered(b, at.name, status, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || try >= again {
			return status
		}
		time.Sleep(retransmitTime)
		if b.cancelSent() || f.closed() {
			return status
		}
		others := f.edgesOf(b.zone)
		if f.shift && rand.IntN(3) == 0 {
			others = f.edges
		}
		if len(others) > 0 {
			at = others[rand.IntN(len(others))]
		}
	}
}

func (b *job) cancelSent() bool {
	select {
	case <-b.cancelled:
		return true
	default:
		return false
	}
}

// cancel cancels a job at the given processes in turn until one acknowledges that. It returns the status of the answer.
func (f *fleet) cancel(b *job, at ...*node) int {
	if !b.cancelSent() {
		f.judge.mu.Lock()
		b.cancelSentAt = time.Now()
		f.judge.mu.Unlock()
		close(b.cancelled)
	}
	for try := range 12 {
		n := at[try%len(at)]
		f.record.add("cancel", "job", b.id, "to", n.name)
		status, _ := f.call(1500*time.Millisecond, http.MethodDelete, n.clients, pathPrefix+b.id, hostName, nil)
		if f.judge.cancelled(b, n.name, status) {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

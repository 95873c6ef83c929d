package replicator_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

func change(i, size int) *wire.Change {
	return &wire.Change{
		Id: fmt.Sprintf("change.1764846000000.%016d", i), BaseVersion: uint64(i), Author: "operator@cli", UnixMillis: 1764846000000,
		Files: []*wire.ServiceFile{{Service: fmt.Sprint("service", i%50), Content: bytes.Repeat([]byte("x"), size)}},
	}
}

// BenchmarkChange replicates one change over three voters without disks: proposal, appends, replies, commit and apply.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{1 << 10, 10 << 10, 100 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sim := newSimulation(b, 1, 3)
			sim.runWithoutFaults(3 * time.Second)
			l, messages, total, i := sim.leader(), 0, 0, 0
			for b.Loop() {
				o, _, _, _ := l.r.Propose(sim.now, change(i, size))
				i++
				sim.addPending(l, o)
				for more := true; more; {
					for _, name := range sim.names {
						sim.sync(sim.nodes[name])
					}
					more = len(sim.inFlight) > 0
					for len(sim.inFlight) > 0 {
						messages++
						total += proto.Size(sim.inFlight[0])
						sim.deliver(0, false)
					}
				}
			}
			if l.stateMachine.Version != uint64(i) {
				b.Fatalf("version %d after %d changes", l.stateMachine.Version, i)
			}
			b.ReportMetric(float64(messages)/float64(i), "messages/op")
			b.ReportMetric(float64(total)/float64(i), "messageBytes/op")
		})
	}
}

// BenchmarkSnapshot encodes and restores the state machine after a number of changes of 50 services.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(changes), func(b *testing.B) {
			h := replicator.NewStateMachine(nil)
			for i := range changes {
				h.Apply(change(i, 2<<10))
			}
			size := 0
			for b.Loop() {
				out, err := proto.Marshal(h.Snapshot(1, 1, nil))
				if err != nil {
					b.Fatal(err)
				}
				s := &wire.ConfigSnapshot{}
				if err := proto.Unmarshal(out, s); err != nil {
					b.Fatal(err)
				}
				replicator.NewStateMachine(s)
				size = len(out)
			}
			b.ReportMetric(float64(size), "snapshotBytes")
		})
	}
}

// BenchmarkEntryMemory reports the heap bytes that one entry occupies, its content of 1 KiB included.
func BenchmarkEntryMemory(b *testing.B) {
	for _, entries := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			const size = 1 << 10
			var before, after runtime.MemStats
			var all []*wire.ConfigEntry
			for b.Loop() {
				all = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range entries {
					all = append(all, &wire.ConfigEntry{Index: uint64(i), Change: change(i, size)})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(all)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(entries), "bytes/entry")
		})
	}
}

package messenger_test

import (
	"bytes"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay relays submissions to a peer over loopback and receives the answers, with 64 in flight. The CPU time
// covers both ends.
func BenchmarkRelay(b *testing.B) {
	for _, tasks := range []int{1, 10, 100, 1200} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			lnA, lnB := listen(b), listen(b)
			peers := []messenger.Peer{{Name: "a", Address: lnA.Addr().String()}, {Name: "b", Address: lnB.Addr().String()}}
			key := "casa-a.1764846000000." + strings.Repeat("0", 32)
			s := &wire.Submission{Key: key, Team: "clubs", Service: "desk", ContentHash: make([]byte, 16), TimeoutMillis: 2000, Hops: 1}
			answer := &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE}
			payload := bytes.Repeat([]byte("x"), 40)
			for i := range tasks {
				id := fmt.Sprint(i)
				s.Tasks = append(s.Tasks, &wire.Task{Id: id, Name: "lookUp", Payload: payload, DeclaredMillis: 50, Ask: &wire.Resources{}})
				answer.Tasks = append(answer.Tasks, &wire.TaskAnswer{
					Id: id, Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, ContentType: "application/json", Payload: payload,
				})
			}
			_, stopB := start(messenger.Config{Name: "b", Peers: peers, Handle: func(_ string, _ *wire.Envelope, reply func(*wire.Envelope)) {
				reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: answer}})
			}}, lnB)
			defer stopB()
			a, stopA := start(messenger.Config{Name: "a", Peers: peers, Handle: func(string, *wire.Envelope, func(*wire.Envelope)) {}}, lnA)
			defer stopA()
			waitConnected(b, a, "b")
			const window = 64
			inFlight := make(chan struct{}, window)
			failed := make(chan error, 1)
			b.ReportAllocs()
			b.ResetTimer()
			before := processorTime()
			for range b.N {
				inFlight <- struct{}{}
				e := &wire.Envelope{Body: &wire.Envelope_Submission{Submission: s}}
				a.Call("b", messenger.RelayStream, e, time.Now().Add(time.Minute), func(_ *wire.Envelope, err error) {
					if err != nil {
						select {
						case failed <- err:
						default:
						}
					}
					<-inFlight
				})
			}
			for range window {
				inFlight <- struct{}{}
			}
			used := processorTime() - before
			b.StopTimer()
			if len(failed) > 0 {
				b.Fatal(<-failed)
			}
			size := proto.Size(&wire.Envelope{Id: 1000, Body: &wire.Envelope_Submission{Submission: s}}) +
				proto.Size(&wire.Envelope{Id: 1000, Body: &wire.Envelope_Answer{Answer: answer}})
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/1000, "cpuMicroseconds/relay")
			b.ReportMetric(float64(size), "bytes/relay")
		})
	}
}

package pinger_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"clementineyard/internal/pinger"
	"clementineyard/wire"
)

func freeAddress(b *testing.B) string {
	b.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDatagram sends pings from a Pinger to itself over loopback, with 16 in flight. The CPU time covers both ends.
// The names of the sub-benchmarks are the lengths, in bytes, of the names in a ping.
func BenchmarkDatagram(b *testing.B) {
	for _, length := range []int{8, 24, 64} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			const window = 16
			inFlight := make(chan struct{}, window)
			address := freeAddress(b)
			p, err := pinger.New(pinger.Config{
				Bind: address, Peers: map[string]string{"peer": address}, Token: "token",
				Handle: func(*wire.Datagram) { <-inFlight }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- p.Run(ctx) }()
			n := strings.Repeat("n", length)
			m := &wire.Datagram{Body: &wire.Datagram_Ping{Ping: &wire.Ping{
				From: n, Owner: n, Leader: n, FailureDomain: n, Incarnation: 1_764_846_000_000, Sequence: 100_000, Epoch: 1200,
				ConfigVersion: 44_000, Term: 300, Ready: true,
			}}}
			time.Sleep(100 * time.Millisecond) // The engine binds its socket on its own goroutine.
			b.ResetTimer()
			before := processorTime()
			for range b.N {
				inFlight <- struct{}{}
				p.Send("peer", m)
			}
			for range window {
				inFlight <- struct{}{}
			}
			used := processorTime() - before
			b.StopTimer()
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/1000, "cpuMicroseconds/datagram")
			b.ReportMetric(float64(p.Stats().SentBytes)/float64(b.N), "bytes/datagram")
			cancel()
			if err := <-ended; err != nil {
				b.Fatal(err)
			}
		})
	}
}

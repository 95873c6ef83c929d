package detector_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/detector"
	"clementineyard/wire"
)

// overhead is what a datagram has beside its message: MAC, UDP and IP header.
const overhead = 16 + 8 + 20

func name(i int) string { return fmt.Sprintf("region-%d-domain-%02d-%d", i%9, i%34, i) }

func known(members int) (*detector.Detector, []string) {
	var names []string
	for i := range members {
		names = append(names, name(i))
	}
	return detector.New(detector.Config{
		Name: names[0], Incarnation: 1_764_846_000_000, Peers: names, PingEvery: time.Second,
		Describe: func(p *wire.Ping) {
			p.FailureDomain, p.Owner, p.Leader = "region-0-domain-00", name(0), name(1)
			p.Epoch, p.ConfigVersion, p.Term, p.Ready = 1200, 44_000, 300, true
		},
	}), names
}

// BenchmarkRound measures one ping interval of one member: its pings, the replies to them, and its replies to the
// others' pings. The bytes are those that it sends.
func BenchmarkRound(b *testing.B) {
	for _, members := range []int{6, 39, 78, 156} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			d, names := known(members)
			now, sent, datagrams := time.UnixMilli(1_764_846_000_000), 0, 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				out := d.Tick(now)
				sequence := out[0].Ping.Sequence
				for _, n := range names[1:] {
					d.Step(now, &wire.Ping{From: n, Incarnation: 1, Sequence: sequence, Reply: true, FailureDomain: "domain"})
					out = append(out, d.Step(now, &wire.Ping{From: n, Incarnation: 1, Sequence: sequence, FailureDomain: "domain"})...)
				}
				datagrams += len(out)
				sent += len(out) * (proto.Size(&wire.Datagram{Body: &wire.Datagram_Ping{Ping: out[0].Ping}}) + overhead)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/round")
			b.ReportMetric(float64(datagrams)/float64(b.N), "datagrams/round")
		})
	}
}

// BenchmarkOwner measures the question that routing to another failure domain asks for each submission.
func BenchmarkOwner(b *testing.B) {
	for _, members := range []int{6, 39, 78, 156} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			d, names := known(members)
			now := time.UnixMilli(1_764_846_000_000)
			sequence := d.Tick(now)[0].Ping.Sequence
			for _, n := range names[1:] {
				d.Step(now, &wire.Ping{From: n, Incarnation: 1, Sequence: sequence, Reply: true, FailureDomain: n, Owner: n, Epoch: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				if owner, _ := d.Owner(now, names[1]); owner != names[1] {
					b.Fatal(owner)
				}
			}
		})
	}
}

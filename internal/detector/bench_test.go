package detector_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/detector"
	"clementineyard/wire"
)

// datagramOverhead is the size of a datagram beside its message, in bytes: the MAC (message authentication code) and
// the UDP and IP headers.
const datagramOverhead = 16 + 8 + 20

func memberName(i int) string { return fmt.Sprintf("region-%d-domain-%02d-%d", i%9, i%34, i) }

// newDetectorOf returns a detector of the first of the given number of members, and the names of all members.
func newDetectorOf(members int) (*detector.Detector, []string) {
	var names []string
	for i := range members {
		names = append(names, memberName(i))
	}
	return detector.New(detector.Config{
		Name: names[0], Incarnation: 1_764_846_000_000, Peers: names, PingEvery: time.Second,
		Describe: func(p *wire.Ping) {
			p.FailureDomain, p.Owner, p.Leader = "region-0-domain-00", memberName(0), memberName(1)
			p.Epoch, p.ConfigVersion, p.Term, p.Ready = 1200, 44_000, 300, true
		},
	}), names
}

// BenchmarkRound measures one ping interval of one member: its pings, their replies, and its replies to the pings of
// the others. bytes/round counts the bytes that the member sends.
func BenchmarkRound(b *testing.B) {
	for _, members := range []int{6, 39, 78, 156} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			d, names := newDetectorOf(members)
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
				sent += len(out) * (proto.Size(&wire.Datagram{Body: &wire.Datagram_Ping{Ping: out[0].Ping}}) + datagramOverhead)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/round")
			b.ReportMetric(float64(datagrams)/float64(b.N), "datagrams/round")
		})
	}
}

// BenchmarkOwner measures the lookup of an owner, which is done for each submission that is relayed to another
// failure domain.
func BenchmarkOwner(b *testing.B) {
	for _, members := range []int{6, 39, 78, 156} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			d, names := newDetectorOf(members)
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

package elector_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/elector"
	"clementineyard/wire"
)

// BenchmarkRenew measures one renewal of an ownership, at the owner and all other members. The bytes are those of both
// directions and include the message authentication code and the UDP and IP headers.
func BenchmarkRenew(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			const overheadBytes, tickEvery = 16 + 8 + 20, 15 * time.Millisecond
			var names []string
			group := map[string]*elector.Elector{}
			for i := range members {
				names = append(names, fmt.Sprintf("region-0-domain-%02d-1", i))
			}
			var list []elector.Member
			for _, n := range names {
				list = append(list, elector.Member{Name: n})
			}
			for i, n := range names {
				group[n] = elector.New(elector.Config{
					Name: n, Group: "casa-a", Members: list, Incarnation: 1, Started: start, Lease: lease, RenewInterval: renew, Seed: uint64(i),
				})
			}
			now, datagrams, sent := start, 0, 0
			tick := func() {
				now = now.Add(tickEvery)
				var inFlight []*wire.ElectorMessage
				for _, n := range names {
					inFlight = append(inFlight, group[n].Tick(now)...)
				}
				for len(inFlight) > 0 {
					m := inFlight[0]
					inFlight = append(inFlight[1:], group[m.To].Step(now, m)...)
					datagrams++
					sent += proto.Size(&wire.Datagram{Body: &wire.Datagram_Elector{Elector: m}}) + overheadBytes
				}
			}
			step := func() {
				for range renew / tickEvery {
					tick()
				}
			}
			for range 100 {
				step()
			}
			datagrams, sent = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
			owners := 0
			for _, n := range names {
				if group[n].Ownership(now).HeldHere {
					owners++
				}
			}
			if owners != 1 {
				b.Fatalf("%d owners, want 1", owners)
			}
			b.ReportMetric(float64(datagrams)/float64(b.N), "datagrams/renewal")
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/renewal")
		})
	}
}

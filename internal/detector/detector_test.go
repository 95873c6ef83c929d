package detector_test

import (
	"testing"
	"time"

	"clementineyard/internal/detector"
	"clementineyard/wire"
)

// Guards against a submission that is relayed to the owner of an older epoch, or to an owner that only an
// unreachable VM reports.
func TestOwnerIsOfTheNewestReachableEpoch(t *testing.T) {
	now := time.UnixMilli(1_764_846_000_000)
	d := detector.New(detector.Config{Name: "a", Peers: []string{"b", "c", "d"}, PingEvery: time.Second})
	sequence := d.Tick(now)[0].Ping.Sequence
	for _, m := range []*wire.Ping{
		{From: "b", Reply: true, FailureDomain: "x", Owner: "old", Epoch: 1},
		{From: "c", Reply: true, FailureDomain: "x", Owner: "new", Epoch: 2},
		{From: "d", Reply: false, FailureDomain: "x", Owner: "unreachable", Epoch: 3},
	} {
		m.Sequence = sequence
		d.Step(now, m)
	}
	if got, ok := d.Owner(now, "x"); got != "new" || !ok {
		t.Errorf("owner is %q, %t", got, ok)
	}
	if got, ok := d.Owner(now, "y"); ok {
		t.Errorf("owner of an unknown failure domain is %q", got)
	}
	if got, ok := d.Owner(now.Add(time.Minute), "x"); ok {
		t.Errorf("owner after a minute of silence is %q", got)
	}
}

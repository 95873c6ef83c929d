package registrar

import (
	"fmt"
	"testing"
	"time"

	"clementineyard/wire"
)

// TestOldReports guards against reports that are late, repeated or arrive after the end of their worker: they must not
// restore an earlier state.
func TestOldReports(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		held, later *wire.WorkerReport
		accepted    bool
		changes     uint64
	}{
		"repeated":                        {newReport(1, 5, false, false), newReport(1, 5, false, false), false, 1},
		"late":                            {newReport(1, 5, true, false), newReport(1, 4, false, false), false, 1},
		"newer, same content":             {newReport(1, 5, false, false), newReport(1, 6, false, false), true, 1},
		"draining":                        {newReport(1, 5, false, false), newReport(1, 6, true, false), true, 2},
		"earlier incarnation":             {newReport(2, 1, false, false), newReport(1, 9, false, false), false, 1},
		"later incarnation":               {newReport(1, 9, true, false), newReport(2, 1, false, false), true, 2},
		"after the end":                   {newReport(1, 0, false, true), newReport(1, 9, false, false), false, 1},
		"later incarnation after the end": {newReport(1, 0, false, true), newReport(2, 1, false, false), true, 2},
		"end":                             {newReport(1, 9, false, false), newReport(1, 0, false, true), true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Report(now, c.held)
			if got := r.Report(now, c.later); got != c.accepted || r.LastChange() != c.changes {
				t.Fatalf("accepted %v after %d changes, want %v after %d", got, r.LastChange(), c.accepted, c.changes)
			}
		})
	}
}

// TestSince guards against readers missing a change and against reports of silent workers being kept forever.
func TestSince(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	for _, id := range []string{"a", "b", "c"} {
		r.Report(now, &wire.WorkerReport{Id: id, Sequence: 1, FailureDomain: "north"})
	}
	r.Report(now, &wire.WorkerReport{Id: "d", Sequence: 1, FailureDomain: "south"})
	r.Report(now.Add(time.Second), &wire.WorkerReport{Id: "a", Sequence: 2, Draining: true, FailureDomain: "north"})
	if got := r.ChangedSince(2, "north"); len(got) != 2 || got[0].Id != "c" || got[1].Id != "a" {
		t.Fatalf("changes after 2: %v", got)
	}
	if got := r.ChangedSince(0, "south"); len(got) != 1 || got[0].Id != "d" {
		t.Fatalf("changes in another failure domain: %v", got)
	}
	if r.LastChangeIn("north") != 5 || r.LastChangeIn("south") != 4 || r.LastChangeIn("west") != 0 {
		t.Fatalf("last changes %d, %d, %d", r.LastChangeIn("north"), r.LastChangeIn("south"), r.LastChangeIn("west"))
	}
	r.Expire(now.Add(2*time.Second), 1500*time.Millisecond)
	if len(r.Find("b")) > 0 || len(r.Find("a")) != 1 {
		t.Fatal("Expire must remove exactly the workers that are silent for longer than the limit")
	}
}

func newReport(born int64, sequence uint64, draining, gone bool) *wire.WorkerReport {
	return &wire.WorkerReport{Id: "w", Born: born, Sequence: sequence, Draining: draining, Gone: gone}
}

// TestReportUnderAnothersID guards against a report under another worker's id that replaces it.
func TestReportUnderAnothersID(t *testing.T) {
	now := time.Unix(1000, 0)
	genuine := func(sequence uint64) *wire.WorkerReport {
		return &wire.WorkerReport{Id: "w", Born: 5, Sequence: sequence, Service: "s", FailureDomain: "north"}
	}
	for name, odd := range map[string]*wire.WorkerReport{
		"other service":                           {Id: "w", Born: 5, Sequence: 1000, Service: "other", FailureDomain: "north"},
		"other service, later incarnation":        {Id: "w", Born: 6, Sequence: 1, Service: "other", FailureDomain: "north"},
		"other failure domain":                    {Id: "w", Born: 5, Sequence: 1000, Service: "s", FailureDomain: "south"},
		"other failure domain, later incarnation": {Id: "w", Born: 6, Sequence: 1, Service: "s", FailureDomain: "south"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, oddFirst := range []bool{false, true} {
				r := New()
				if oddFirst {
					r.Report(now, odd)
				}
				r.Report(now, genuine(1))
				if !oddFirst {
					r.Report(now, odd)
				}
				found := false
				for _, w := range r.ChangedSince(0, "north") {
					found = found || w.Service == "s"
				}
				if !found {
					t.Errorf("odd first %v: the worker is lost", oddFirst)
				}
				if !r.Report(now, genuine(2)) {
					t.Errorf("odd first %v: the worker's next report counts as outdated", oddFirst)
				}
			}
		})
	}
}

// TestOddReportsTakeBoundedMemory guards against memory that grows with each new id in a report.
func TestOddReportsTakeBoundedMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	genuine := func(sequence uint64) *wire.WorkerReport {
		return &wire.WorkerReport{Id: "w", Sequence: sequence, Service: "s", FailureDomain: "north"}
	}
	r.Report(now, genuine(1))
	held := r.LastChange()
	const odd = 3 * maxWorkers
	for i := range odd {
		now = now.Add(time.Millisecond)
		r.Report(now, &wire.WorkerReport{Id: "odd", Sequence: 1, Service: "s", FailureDomain: fmt.Sprint(i)})
		if i%1000 == 0 && !r.Report(now, genuine(uint64(i+2))) {
			t.Fatalf("after %d odd reports the worker's report counts as outdated", i)
		}
	}
	if len(r.workers) > maxWorkers || len(r.failureDomains) > maxWorkers {
		t.Errorf("%d odd reports: %d workers and %d failure domains are kept, want at most %d", odd, len(r.workers), len(r.failureDomains), maxWorkers)
	}
	if got := r.ChangedSince(0, "north"); len(got) != 1 || r.LastChangeIn("north") != held {
		t.Errorf("the worker that reported on: %v, last change %d, want %d", got, r.LastChangeIn("north"), held)
	}
	r.Expire(now.Add(time.Hour), time.Minute)
	if len(r.workers) > 0 || len(r.failureDomains) > 0 {
		t.Errorf("after all workers are silent, %d of them and %d failure domains are kept", len(r.workers), len(r.failureDomains))
	}
	r.Report(now, genuine(1))
	if got := r.ChangedSince(held, "north"); len(got) != 1 || r.LastChangeIn("north") <= held {
		t.Errorf("a reader that holds changes up to %d misses the worker that came back: %v", held, got)
	}
}

// TestUnchangedReportsReachReaders guards against a reader that forgets a worker whose reports do not change.
func TestUnchangedReportsReachReaders(t *testing.T) {
	const limit = 10 * time.Minute
	now := time.Unix(1000, 0)
	source, reader := New(), New()
	read := uint64(0)
	passed := 0
	for sequence := uint64(1); sequence < 3600; sequence++ {
		now = now.Add(1500 * time.Millisecond)
		source.Report(now, newReport(1, sequence, false, false))
		for _, w := range source.ChangedSince(read, "") {
			reader.Report(now, w)
			passed++
		}
		read = source.LastChange()
		reader.Expire(now, limit)
		if len(reader.Find("w")) != 1 {
			t.Fatalf("the reader has forgotten a worker after %v that reports on", now.Sub(time.Unix(1000, 0)))
		}
	}
	if passed > 40 {
		t.Errorf("%d reports without a change were passed on in 90 minutes", passed)
	}
}

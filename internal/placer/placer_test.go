package placer_test

import (
	"fmt"
	"testing"
	"time"

	"clementineyard/internal/placer"
)

var epoch = time.UnixMilli(1_764_846_000_000)

// Reports that arrive 2 s late must not send work to workers that have long been busy. The target of the scenario
// lateReports is 1.2 for the busiest over the mean load, and holds for the variant in force; the others are printed.
func TestLateReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    placer.Load
		inForce bool
	}{
		{"reportAndPlacements", placer.LoadReportAndPlacements, true},
		{"lastReport", placer.LoadLastReport, false},
		{"smoothedReport", placer.LoadSmoothedReport, false},
	} {
		got := busiestOverMean(placer.Config{Seed: 1, Load: c.load})
		t.Logf("%s: busiest over mean load %.2f", c.name, got)
		if c.inForce && got > 1.2 {
			t.Errorf("%s: busiest over mean load %.2f, want at most 1.2", c.name, got)
		}
	}
}

// While own work grows, reports that do not show it yet must not hide what others use: the load must stay even.
func TestLateReportsKeepOthersUse(t *testing.T) {
	const rounds, each, cores, others = 5, 4, 16, 8
	p := placer.New(placer.Config{Seed: 1})
	own := map[string]int{}
	for i := range rounds {
		at := epoch.Add(time.Duration(i) * 700 * time.Millisecond)
		for _, w := range []struct {
			name string
			used int64
		}{{"shared", others}, {"idle", 0}} {
			p.Announce(at, placer.Announcement{
				Name: w.name, Incarnation: 1, Worker: true, LeaseUntil: at.Add(time.Hour),
				Capacity: placer.Resources{Millicores: cores * 1000}, Usage: placer.Resources{Millicores: w.used * 1000},
			})
		}
		for range each {
			slot, ok := p.Place("any", true, placer.Resources{Millicores: 1000})
			if !ok {
				t.Fatal("no worker has room")
			}
			own[slot.Server.Name]++
		}
	}
	if shared, idle := own["shared"]+others, own["idle"]; max(shared, idle)-min(shared, idle) > 1 {
		t.Errorf("%d and %d of %d cores are in use, want an even load", shared, idle, cores)
	}
}

// The tasks of one job must spread over racks where workers are equally loaded, so that a lost rack takes few of them;
// a less loaded worker must win over a rack that is not used yet.
func TestJobSpreadsOverRacks(t *testing.T) {
	const workers, perRack, racks = 32, 8, 4
	ask := placer.Resources{Millicores: 1000}
	p := placer.New(placer.Config{Seed: 1})
	for i := range workers {
		p.Announce(epoch, placer.Announcement{
			Name: fmt.Sprint(i), Incarnation: 1, Worker: true, LeaseUntil: epoch.Add(time.Hour),
			Capacity: placer.Resources{Millicores: 16_000}, Rack: fmt.Sprint("rack-", i/perRack),
		})
	}
	for range 100 { // jobs; each takes less than the workers of equal load
		used := map[string]int{}
		var slots []placer.Slot
		for range racks {
			slot, ok := p.PlaceApart("any", true, ask, used)
			if !ok {
				t.Fatal("no worker has room")
			}
			slots = append(slots, slot)
		}
		if len(used) != racks {
			t.Fatalf("%d tasks went to the racks %v, want one each", racks, used)
		}
		for _, s := range slots {
			p.Free(epoch, s, placer.Succeeded)
		}
	}
	for range workers - 1 {
		p.Place("any", true, ask)
	}
	idle := p.Lookup("0")
	for i := range workers {
		if sv := p.Lookup(fmt.Sprint(i)); sv.Busy() == 0 {
			idle = sv
		}
	}
	if slot, ok := p.PlaceApart("any", true, ask, map[string]int{idle.Rack: 9}); !ok || slot.Server != idle {
		t.Error("a used rack kept the task from the only idle worker")
	}
}

// busiestOverMean loads 20 unequal workers to 70% with tasks of one core that run for 0.5 s to 1.5 s.
func busiestOverMean(cfg placer.Config) float64 {
	const (
		workers, steps = 20, 2000
		step           = 10 * time.Millisecond
		reportLag      = 200 // steps
		reportEvery    = 70  // steps
	)
	p := placer.New(cfg)
	cores, running := [workers]int64{}, [workers]int64{}
	history := [steps][workers]int64{}
	total := int64(0)
	for i := range cores {
		cores[i] = int64(16 * (1 + i%3))
		total += cores[i]
	}
	type run struct {
		slot   placer.Slot
		worker int
	}
	ends := map[int][]run{}
	index := map[string]int{}
	for i := range cores {
		index[fmt.Sprint(i)] = i
	}
	inFlight, started := int64(0), 0
	sum, samples := 0.0, 0
	for now := range steps {
		at := epoch.Add(time.Duration(now) * step)
		for _, r := range ends[now] {
			p.Free(at, r.slot, placer.Succeeded)
			running[r.worker]--
			inFlight--
		}
		delete(ends, now)
		for i := range cores {
			if (now+i)%reportEvery == 0 || now == 0 {
				p.Announce(at, placer.Announcement{
					Name: fmt.Sprint(i), Incarnation: 1, Worker: true, LeaseUntil: at.Add(time.Hour),
					Capacity: placer.Resources{Millicores: cores[i] * 1000},
					Usage:    placer.Resources{Millicores: history[max(now-reportLag, 0)][i] * 1000},
				})
			}
		}
		for inFlight*10 < total*7 {
			slot, ok := p.Place("any", true, placer.Resources{Millicores: 1000})
			if !ok {
				break
			}
			i := index[slot.Server.Name]
			started++
			end := now + 50 + started*37%100
			ends[end] = append(ends[end], run{slot, i})
			running[i]++
			inFlight++
		}
		history[now] = running
		if now >= steps/2 {
			busiest, mean := 0.0, float64(inFlight)/float64(total)
			for i := range cores {
				busiest = max(busiest, float64(running[i])/float64(cores[i]))
			}
			sum += busiest / mean
			samples++
		}
	}
	return sum / float64(samples)
}

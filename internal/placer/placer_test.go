package placer_test

import (
	"fmt"
	"testing"
	"time"

	"clementineyard/internal/placer"
)

var epoch = time.UnixMilli(1_764_846_000_000)

// Guards against placement by reports that are 2 s old, which sends tasks to workers that have long been busy. The
// target of the scenario lateReports, at most 1.2 for the load of the busiest worker over the mean, applies to the
// default load score; the results of the others are only logged.
func TestLateReports(t *testing.T) {
	for _, c := range []struct {
		name      string
		load      placer.LoadScore
		isDefault bool
	}{
		{"reportAndPlacements", placer.LoadReportAndPlacements, true},
		{"lastReport", placer.LoadLastReport, false},
		{"smoothedReport", placer.LoadSmoothedReport, false},
	} {
		got := busiestOverMean(placer.Config{Seed: 1, Load: c.load})
		t.Logf("%s: busiest over mean load %.2f", c.name, got)
		if c.isDefault && got > 1.2 {
			t.Errorf("%s: busiest over mean load %.2f, want at most 1.2", c.name, got)
		}
	}
}

// Guards against reports that do not yet show growing own work and so hide the usage of others: the load must stay
// even.
func TestLateReportsKeepOthersUse(t *testing.T) {
	const rounds, tasksPerRound, cores, othersCores = 5, 4, 16, 8
	p := placer.New(placer.Config{Seed: 1})
	ownCores := map[string]int{}
	for i := range rounds {
		at := epoch.Add(time.Duration(i) * 700 * time.Millisecond)
		for _, w := range []struct {
			name string
			used int64
		}{{"shared", othersCores}, {"idle", 0}} {
			p.Announce(at, placer.Announcement{
				Name: w.name, Incarnation: 1, Worker: true, LeaseUntil: at.Add(time.Hour),
				Capacity: placer.Resources{Millicores: cores * 1000}, Usage: placer.Resources{Millicores: w.used * 1000},
			})
		}
		for range tasksPerRound {
			slot, ok := p.Place("any", true, placer.Resources{Millicores: 1000})
			if !ok {
				t.Fatal("no worker has room")
			}
			ownCores[slot.Server.Name]++
		}
	}
	if shared, idle := ownCores["shared"]+othersCores, ownCores["idle"]; max(shared, idle)-min(shared, idle) > 1 {
		t.Errorf("%d and %d of %d cores are in use, want an even load", shared, idle, cores)
	}
}

// The tasks of one job must spread over racks where workers are equally loaded, so that the loss of a rack affects
// few of them. A less loaded worker must be preferred to a rack that is not used yet.
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
	for range 100 { // jobs of fewer tasks than there are equally loaded workers
		tasksByRack := map[string]int{}
		var slots []placer.Slot
		for range racks {
			slot, ok := p.PlaceSpread("any", true, ask, tasksByRack)
			if !ok {
				t.Fatal("no worker has room")
			}
			slots = append(slots, slot)
		}
		if len(tasksByRack) != racks {
			t.Fatalf("%d tasks went to the racks %v, want one each", racks, tasksByRack)
		}
		for _, s := range slots {
			p.Release(epoch, s, placer.Succeeded)
		}
	}
	for range workers - 1 {
		p.Place("any", true, ask)
	}
	idle := p.Lookup("0")
	for i := range workers {
		if sv := p.Lookup(fmt.Sprint(i)); sv.OccupiedSlots() == 0 {
			idle = sv
		}
	}
	if slot, ok := p.PlaceSpread("any", true, ask, map[string]int{idle.Rack: 9}); !ok || slot.Server != idle {
		t.Error("a used rack kept the task from the only idle worker")
	}
}

// busiestOverMean simulates 20 workers of unequal size at 70% load, with tasks of one core that run for 0.5 to
// 1.5 s, and returns the mean ratio of the busiest worker's load to the mean load.
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
	totalCores := int64(0)
	for i := range cores {
		cores[i] = int64(16 * (1 + i%3))
		totalCores += cores[i]
	}
	type placedTask struct {
		slot   placer.Slot
		worker int
	}
	ends := map[int][]placedTask{}
	workerIndex := map[string]int{}
	for i := range cores {
		workerIndex[fmt.Sprint(i)] = i
	}
	inFlight, started := int64(0), 0
	sum, samples := 0.0, 0
	for now := range steps {
		at := epoch.Add(time.Duration(now) * step)
		for _, r := range ends[now] {
			p.Release(at, r.slot, placer.Succeeded)
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
		for inFlight*10 < totalCores*7 {
			slot, ok := p.Place("any", true, placer.Resources{Millicores: 1000})
			if !ok {
				break
			}
			i := workerIndex[slot.Server.Name]
			started++
			end := now + 50 + started*37%100
			ends[end] = append(ends[end], placedTask{slot, i})
			running[i]++
			inFlight++
		}
		history[now] = running
		if now >= steps/2 {
			busiest, mean := 0.0, float64(inFlight)/float64(totalCores)
			for i := range cores {
				busiest = max(busiest, float64(running[i])/float64(cores[i]))
			}
			sum += busiest / mean
			samples++
		}
	}
	return sum / float64(samples)
}

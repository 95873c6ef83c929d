package measurer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/replier"
)

const (
	// warmUp is left out of the figures, as connections are opened and run times learned meanwhile.
	warmUp = 2 * time.Second
	// forever is later than the end of every scenario.
	forever = time.Hour
	// shortTimeout bounds the open calls at the peak of the load, and so the connections of the load generator.
	shortTimeout = 2 * time.Second
	longTimeout  = 6 * time.Second
	// crestServers keeps the number of open calls below the 20,000 open files of one process, also for a system that
	// refuses no call.
	crestServers = 24
	workerCount  = 48
)

// lookUp returns a short request of 50 to 150 ms without a key.
func lookUp(rng *rand.Rand) generator.Call {
	return generator.Call{
		Service: "bench", Task: "lookUp", Team: "runners", Timeout: shortTimeout,
		RunTimes: []time.Duration{generator.Uniform(rng, 50*time.Millisecond, 150*time.Millisecond)},
	}
}

// halfKeyed returns the same as lookUp, with a key in half of the cases.
func halfKeyed(rng *rand.Rand) generator.Call {
	c := lookUp(rng)
	c.Keyed = rng.IntN(2) == 0
	return c
}

// typicalMix returns a call of the usual mix: short requests of which a few take ten times as long, keyed updates of up
// to 1 s, and a few exports of 2 to 4 s.
func typicalMix(rng *rand.Rand) generator.Call {
	const lookUps, updates, stragglers, stragglerFactor = 0.65, 0.34, 0.005, 10
	c := lookUp(rng)
	switch p := rng.Float64(); {
	case p < stragglers:
		c.RunTimes[0] *= stragglerFactor
	case p < lookUps:
	case p < lookUps+updates:
		c.Task, c.Keyed, c.RunTimes[0] = "update", true, generator.Uniform(rng, 150*time.Millisecond, time.Second)
	default:
		c.Task, c.Timeout, c.RunTimes[0] = "export", longTimeout, generator.Uniform(rng, 2*time.Second, 4*time.Second)
	}
	return c
}

// capacityOf returns how many tasks of a mix the slots can run per second: the slots divided by the mean run time.
func capacityOf(slots int, pick func(*rand.Rand) generator.Call) float64 {
	const draws = 100_000
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range draws {
		sum += pick(rng).RunTimes[0]
	}
	return float64(slots) * draws / sum.Seconds()
}

// overhead measures the latency that the entry processes add at 10% of the capacity.
func overhead(b *testbed, l *Line) (bool, error) {
	const load, maxP50OverIdeal, maxP99OverIdeal = 0.1, 1.05, 1.2
	pick := func(rng *rand.Rand) generator.Call {
		c := lookUp(rng)
		c.RunTimes[0] = 50 * time.Millisecond
		return c
	}
	fullRate := capacityOf(serverCount*slotsPerServer, pick)
	rs := answeredWithin(dueWithin(b.offer(l, pick, generator.Phase{Rate: load * fullRate, Duration: 3 * warmUp}), warmUp, forever), 0, forever)
	l.P50OverIdeal, l.P99OverIdeal = quantileOverIdeal(rs, 50), quantileOverIdeal(rs, 99)
	return l.P50OverIdeal <= maxP50OverIdeal && l.P99OverIdeal <= maxP99OverIdeal && l.Answered == l.Offered, nil
}

// crest raises the load to three times the capacity.
func crest(b *testbed, l *Line) (bool, error) {
	const minShare, maxRefusalMilliseconds = 0.95, 50.0
	const before, rise, hold, peakFactor = 2 * time.Second, 2 * time.Second, 10 * time.Second, 3
	fullRate := capacityOf(crestServers*slotsPerServer, typicalMix)
	phases := append([]generator.Phase{{Rate: fullRate / 2, Duration: before}}, generator.Ramp(fullRate/2, peakFactor*fullRate, rise, 20)...)
	rs := b.offer(l, typicalMix, append(phases, generator.Phase{Rate: peakFactor * fullRate, Duration: hold})...)
	var work time.Duration
	for _, r := range answeredWithin(rs, before+rise, before+rise+hold) {
		work += r.RunTimes[0]
	}
	ofIdeal := answerRate(rs, before+rise, before+rise+hold) / fullRate
	refused := generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.NotRun })
	refusal := generator.Quantile(refused, 99, func(r *generator.Result) float64 { return r.Latency().Seconds() * 1000 })
	l.More["capacityPerSecond"], l.More["answeredOfIdealAtPeak"] = fullRate, ofIdeal
	l.More["refusalP99Milliseconds"] = refusal
	// Refusing long tasks alone would raise the number of answers above the ideal, so the used slot time must reach the
	// share too.
	used := work.Seconds() / (crestServers * slotsPerServer * hold.Seconds())
	l.More["slotTimeUsedAtPeak"] = used
	l.addNote("24 servers: the files of the load generator's process bound the open calls")
	return min(ofIdeal, used) >= minShare && refusal <= maxRefusalMilliseconds && l.FalseNotRun == 0, nil
}

// shortBehindLong mixes short tasks with a few that take 50 times as long.
func shortBehindLong(b *testbed, l *Line) (bool, error) {
	const load, longShare, longFactor, maxP99OverIdeal = 0.8, 0.05, 50, 2
	pick := func(rng *rand.Rand) generator.Call {
		c := generator.Call{
			Service: "mixed", Task: "short", Team: "runners", Timeout: longTimeout, RunTimes: []time.Duration{50 * time.Millisecond},
		}
		if rng.Float64() < longShare {
			c.Task, c.Timeout, c.RunTimes[0] = "long", 2*longTimeout, longFactor*c.RunTimes[0]
		}
		return c
	}
	fullRate := capacityOf(serverCount*slotsPerServer, pick)
	rs := dueWithin(b.offer(l, pick, generator.Phase{Rate: load * fullRate, Duration: 6 * warmUp}), warmUp, forever)
	short, long := resultsOf(rs, "short"), resultsOf(rs, "long")
	shortDone, longDone := answeredWithin(short, 0, forever), answeredWithin(long, 0, forever)
	p99 := quantileOverIdeal(shortDone, 99)
	l.More["shortOffered"], l.More["shortAnswered"] = len(short), len(shortDone)
	l.More["longOffered"], l.More["longAnswered"] = len(long), len(longDone)
	l.More["shortP50OverIdeal"], l.More["shortP99OverIdeal"] = quantileOverIdeal(shortDone, 50), p99
	l.More["longP99OverIdeal"] = quantileOverIdeal(longDone, 99)
	return p99 <= maxP99OverIdeal && len(shortDone) == len(short) && len(longDone) == len(long), nil
}

// badWorkers lets two servers fail under load and counts the starts on them after a grace period.
func badWorkers(b *testbed, l *Line) (bool, error) {
	const load, maxTouchedShare, failingCount = 0.6, 0.01, 2
	const failAt, grace, span = 3 * time.Second, 2 * time.Second, 9 * time.Second
	failing, graceEnd := map[string]bool{}, time.Now().Add(failAt+grace)
	for _, s := range b.Servers[:failingCount] {
		failing[s.Name()] = true
		time.AfterFunc(failAt, func() { s.Failing.Store(true) })
	}
	b.offer(l, lookUp, generator.Phase{Rate: load * capacityOf(serverCount*slotsPerServer, lookUp), Duration: span})
	var touched, all int
	for _, s := range b.Journal.Starts() {
		if s.At.After(graceEnd) {
			all++
			if failing[s.Server] {
				touched++
			}
		}
	}
	touchedShare := float64(touched) / float64(max(all, 1))
	l.More["touchedShare"], l.More["startsAfterGrace"] = touchedShare, all
	return all > 0 && touchedShare < maxTouchedShare, nil
}

// configureWorker configures workers of different sizes, the same ones in each failure domain. Other programs use half
// of the cores of every fourth worker.
func configureWorker(i int, c *replier.Config) {
	const perRack = 8
	sizes := []float64{8, 16, 32}
	n := i / len(domains)
	c.Services, c.Slots, c.Cores, c.Memory = []string{"work"}, 0, sizes[n%len(sizes)], "32GiB"
	c.Rack, c.ReportDelay = fmt.Sprintf("%s-rack-%d", c.FailureDomain, n/perRack), 2*time.Second
	if n%4 == 0 {
		c.BackgroundCores = c.Cores / 2
	}
}

// lateReports places tasks on workers whose announcements report a usage that is 2 s old.
func lateReports(b *testbed, l *Line) (bool, error) {
	const load, maxBusiestOverMean, span, run = 0.6, 1.2, 9 * time.Second, 200 * time.Millisecond
	freeCores := 0.0
	for i := range workerCount {
		var c replier.Config
		configureWorker(i, &c)
		freeCores += c.Cores - c.BackgroundCores
	}
	pick := func(*rand.Rand) generator.Call {
		return generator.Call{Service: "work", Task: "step", Team: "runners", Timeout: shortTimeout, RunTimes: []time.Duration{run}}
	}
	ratios := make(chan []float64, 1)
	go func() { ratios <- b.sampleLoad(warmUp+time.Second, 5) }()
	b.offer(l, pick, generator.Phase{Rate: load * freeCores / run.Seconds(), Duration: span})
	sampled := <-ratios
	l.More["busiestOverMean"], l.More["worstBusiestOverMean"] = sampled[len(sampled)/2], sampled[len(sampled)-1]
	l.addNote("busiestOverMean is the median over windows of 1 s of core time used per core, background included")
	return sampled[len(sampled)/2] <= maxBusiestOverMean && l.Answered == l.Offered, nil
}

// sampleLoad returns the highest load of a worker divided by the mean load, for each of n windows of 1 s after begin,
// in ascending order. A worker's load is its core time used per core.
func (b *testbed) sampleLoad(begin time.Duration, n int) []float64 {
	last := make([]time.Duration, len(b.Servers))
	sample := func() float64 {
		var busiest, sum float64
		for i, s := range b.Servers {
			used, cores := s.CoreTime()
			load := (used - last[i]).Seconds() / cores
			last[i] = used
			busiest, sum = max(busiest, load), sum+load
		}
		return busiest / (sum / float64(len(b.Servers)))
	}
	time.Sleep(begin)
	sample()
	var out []float64
	for range n {
		time.Sleep(time.Second)
		out = append(out, sample())
	}
	slices.Sort(out)
	return out
}

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
	// warm is left out of the figures: connections open and run times are learned.
	warm    = 2 * time.Second
	forever = time.Hour
	// shortLimit bounds the open calls, and so the load generator's connections, at the demand peak.
	shortLimit = 2 * time.Second
	longLimit  = 6 * time.Second
	// crestServers keeps the open calls of a system that refuses nothing below the 20,000 files of one process.
	crestServers = 24
	workers      = 48
)

// lookUp is a short request of 50 to 150 ms without a key.
func lookUp(rng *rand.Rand) generator.Call {
	return generator.Call{
		Service: "bench", Task: "lookUp", Team: "runners", Timeout: shortLimit,
		Runs: []time.Duration{generator.Uniform(rng, 50*time.Millisecond, 150*time.Millisecond)},
	}
}

// halfKeyed is lookUp, with a key for every other call.
func halfKeyed(rng *rand.Rand) generator.Call {
	c := lookUp(rng)
	c.Keyed = rng.IntN(2) == 0
	return c
}

// everyday is the usual mix: short requests with a few stragglers, keyed updates of up to 1 s, a few of several seconds.
func everyday(rng *rand.Rand) generator.Call {
	const lookUps, updates, stragglers, straggle = 0.65, 0.34, 0.005, 10
	c := lookUp(rng)
	switch p := rng.Float64(); {
	case p < stragglers:
		c.Runs[0] *= straggle
	case p < lookUps:
	case p < lookUps+updates:
		c.Task, c.Keyed, c.Runs[0] = "update", true, generator.Uniform(rng, 150*time.Millisecond, time.Second)
	default:
		c.Task, c.Timeout, c.Runs[0] = "export", longLimit, generator.Uniform(rng, 2*time.Second, 4*time.Second)
	}
	return c
}

// capacityOf is how many tasks of a mix a number of slots can run in a second: slots over the mean run time.
func capacityOf(slots int, pick func(*rand.Rand) generator.Call) float64 {
	const draws = 100_000
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range draws {
		sum += pick(rng).Runs[0]
	}
	return float64(slots) * draws / sum.Seconds()
}

func overhead(b *bed, l *Line) (bool, error) {
	const load, median, tail = 0.1, 1.05, 1.2
	pick := func(rng *rand.Rand) generator.Call {
		c := lookUp(rng)
		c.Runs[0] = 50 * time.Millisecond
		return c
	}
	full := capacityOf(serversInAll*slotsEach, pick)
	rs := done(due(b.offer(l, pick, generator.Phase{Rate: load * full, For: 3 * warm}), warm, forever), 0, forever)
	l.P50OverIdeal, l.P99OverIdeal = overIdeal(rs, 50), overIdeal(rs, 99)
	return l.P50OverIdeal <= median && l.P99OverIdeal <= tail && l.Answered == l.Offered, nil
}

func crest(b *bed, l *Line) (bool, error) {
	const share, refusedWithin = 0.95, 50.0
	const before, rise, hold, top = 2 * time.Second, 2 * time.Second, 10 * time.Second, 3
	full := capacityOf(crestServers*slotsEach, everyday)
	phases := append([]generator.Phase{{Rate: full / 2, For: before}}, generator.Ramp(full/2, top*full, rise, 20)...)
	rs := b.offer(l, everyday, append(phases, generator.Phase{Rate: top * full, For: hold})...)
	var work time.Duration
	for _, r := range done(rs, before+rise, before+rise+hold) {
		work += r.Runs[0]
	}
	ofIdeal := rate(rs, before+rise, before+rise+hold) / full
	refused := generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.NotRun })
	refusal := generator.Quantile(refused, 99, func(r *generator.Result) float64 { return r.Latency().Seconds() * 1000 })
	l.More["capacityPerSecond"], l.More["answeredOfIdealAtPeak"] = full, ofIdeal
	l.More["refusalP99Milliseconds"] = refusal
	// Answers alone can exceed the ideal by refusing long work, so the slots' time must reach the share too.
	used := work.Seconds() / (crestServers * slotsEach * hold.Seconds())
	l.More["slotTimeUsedAtPeak"] = used
	l.note("24 servers: the files of the load generator's process bound the open calls")
	return min(ofIdeal, used) >= share && refusal <= refusedWithin && l.FalseNotRun == 0, nil
}

func shortBehindLong(b *bed, l *Line) (bool, error) {
	const load, longs, times, bound = 0.8, 0.05, 50, 2
	pick := func(rng *rand.Rand) generator.Call {
		c := generator.Call{
			Service: "mixed", Task: "short", Team: "runners", Timeout: longLimit, Runs: []time.Duration{50 * time.Millisecond},
		}
		if rng.Float64() < longs {
			c.Task, c.Timeout, c.Runs[0] = "long", 2*longLimit, times*c.Runs[0]
		}
		return c
	}
	full := capacityOf(serversInAll*slotsEach, pick)
	rs := due(b.offer(l, pick, generator.Phase{Rate: load * full, For: 6 * warm}), warm, forever)
	short, long := of(rs, "short"), of(rs, "long")
	shortDone, longDone := done(short, 0, forever), done(long, 0, forever)
	p99 := overIdeal(shortDone, 99)
	l.More["shortOffered"], l.More["shortAnswered"] = len(short), len(shortDone)
	l.More["longOffered"], l.More["longAnswered"] = len(long), len(longDone)
	l.More["shortP50OverIdeal"], l.More["shortP99OverIdeal"] = overIdeal(shortDone, 50), p99
	l.More["longP99OverIdeal"] = overIdeal(longDone, 99)
	return p99 <= bound && len(shortDone) == len(short) && len(longDone) == len(long), nil
}

func badWorkers(b *bed, l *Line) (bool, error) {
	const load, share, bad = 0.6, 0.01, 2
	const failAt, grace, span = 3 * time.Second, 2 * time.Second, 9 * time.Second
	failing, from := map[string]bool{}, time.Now().Add(failAt+grace)
	for _, s := range b.Servers[:bad] {
		failing[s.Name()] = true
		time.AfterFunc(failAt, func() { s.Failing.Store(true) })
	}
	b.offer(l, lookUp, generator.Phase{Rate: load * capacityOf(serversInAll*slotsEach, lookUp), For: span})
	var touched, all int
	for _, s := range b.Journal.Starts() {
		if s.At.After(from) {
			all++
			if failing[s.Server] {
				touched++
			}
		}
	}
	part := float64(touched) / float64(max(all, 1))
	l.More["touchedShare"], l.More["startsAfterGrace"] = part, all
	return all > 0 && part < share, nil
}

// asWorker makes unequal workers, the same ones in each failure domain; others use half of every fourth.
func asWorker(i int, c *replier.Config) {
	const perRack = 8
	sizes := []float64{8, 16, 32}
	n := i / len(domains)
	c.Services, c.Slots, c.Cores, c.Memory = []string{"work"}, 0, sizes[n%len(sizes)], "32GiB"
	c.Rack, c.ReportDelay = fmt.Sprintf("%s-rack-%d", c.FailureDomain, n/perRack), 2*time.Second
	if n%4 == 0 {
		c.Background = c.Cores / 2
	}
}

func lateReports(b *bed, l *Line) (bool, error) {
	const load, bound, span, run = 0.6, 1.2, 9 * time.Second, 200 * time.Millisecond
	free := 0.0
	for i := range workers {
		var c replier.Config
		asWorker(i, &c)
		free += c.Cores - c.Background
	}
	pick := func(*rand.Rand) generator.Call {
		return generator.Call{Service: "work", Task: "step", Team: "runners", Timeout: shortLimit, Runs: []time.Duration{run}}
	}
	ratios := make(chan []float64, 1)
	go func() { ratios <- b.sampleLoad(warm+time.Second, 5) }()
	b.offer(l, pick, generator.Phase{Rate: load * free / run.Seconds(), For: span})
	each := <-ratios
	l.More["busiestOverMean"], l.More["worstBusiestOverMean"] = each[len(each)/2], each[len(each)-1]
	l.note("busiestOverMean is the median over windows of 1 s of core time used per core, background included")
	return each[len(each)/2] <= bound && l.Answered == l.Offered, nil
}

// sampleLoad returns the busiest worker's load over the mean for each of n windows of 1 s, in rising order.
func (b *bed) sampleLoad(begin time.Duration, n int) []float64 {
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

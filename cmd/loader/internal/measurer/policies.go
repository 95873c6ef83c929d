package measurer

import (
	"math/rand/v2"
	"slices"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/replier"
)

const (
	// warm is left out of the figures: connections open and run times are learned.
	warm = 2 * time.Second
	// shortLimit bounds the open calls, and so the load generator's connections, at the demand peak.
	shortLimit = 2 * time.Second
	longLimit  = 10 * time.Second
	slotsInAll = serversInAll * slotsEach
)

// lookUp is a short request of 50 to 150 ms without a key.
func lookUp(rng *rand.Rand) generator.Call {
	return generator.Call{
		Service: "bench", Task: "lookUp", Team: "runners", Timeout: shortLimit,
		Runs: []time.Duration{generator.Uniform(rng, 50*time.Millisecond, 150*time.Millisecond)},
	}
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

// meanRun estimates the mean run time of a mix in seconds, with a seed of its own.
func meanRun(pick func(*rand.Rand) generator.Call) float64 {
	const draws = 100_000
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range draws {
		sum += pick(rng).Runs[0]
	}
	return sum.Seconds() / draws
}

// capacityOf is how many tasks of a mix all slots can run in a second.
func capacityOf(pick func(*rand.Rand) generator.Call) float64 { return slotsInAll / meanRun(pick) }

func (m *Measurer) overhead(l *Line) error {
	const load, median, tail = 0.1, 1.05, 1.2
	b, err := m.bed(l, bedConfig{})
	if err != nil {
		return err
	}
	defer b.close()
	pick := func(rng *rand.Rand) generator.Call {
		c := lookUp(rng)
		c.Runs[0] = 50 * time.Millisecond
		return c
	}
	phases := []generator.Phase{{Rate: load * capacityOf(pick), For: warm + 6*time.Second}}
	rs := b.client.Run(time.Now(), generator.Arrivals(m.rng(l), phases, pick))
	l.count(b, rs)
	warmed := doneBetween(after(rs, warm), 0, time.Hour)
	l.P50OverIdeal, l.P99OverIdeal = generator.OverIdeal(warmed, 50), generator.OverIdeal(warmed, 99)
	l.Met = l.P50OverIdeal <= median && l.P99OverIdeal <= tail && l.Answered == l.Offered
	return nil
}

func (m *Measurer) crest(l *Line) error {
	const share, refusedWithin = 0.95, 50 * time.Millisecond
	const before, rise, hold = 2 * time.Second, 2 * time.Second, 10 * time.Second
	// With 50 servers the open calls of a system that refuses nothing need more than the 20,000 files of one process.
	const servers = 24
	b, err := m.bed(l, bedConfig{servers: servers})
	if err != nil {
		return err
	}
	defer b.close()
	l.Note = "24 servers: the files of the load generator's process bound the open calls"
	full := capacityOf(everyday) * servers / serversInAll
	phases := append([]generator.Phase{{Rate: full / 2, For: before}}, generator.Ramp(full/2, 3*full, rise, 20)...)
	phases = append(phases, generator.Phase{Rate: 3 * full, For: hold})
	rs := b.client.Run(time.Now(), generator.Arrivals(m.rng(l), phases, everyday))
	l.count(b, rs)
	peak := doneBetween(rs, before+rise, before+rise+hold)
	var work time.Duration
	for i := range peak {
		work += peak[i].Runs[0]
	}
	ofIdeal := float64(len(peak)) / (full * hold.Seconds())
	refused := generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.NotRun })
	refusalP99 := generator.Latency(refused, 99)
	l.add(map[string]any{
		"answeredOfIdealAtPeak": ofIdeal, "slotTimeUsedAtPeak": work.Seconds() / (servers * slotsEach * hold.Seconds()),
		"refusalP99Milliseconds": millis(refusalP99), "capacityPerSecond": full,
	})
	l.Met = ofIdeal >= share && refusalP99 <= refusedWithin && l.FalseNotRun == 0
	return nil
}

func (m *Measurer) shortBehindLong(l *Line) error {
	const load, longs, times, bound, span = 0.8, 0.05, 50, 2, 12 * time.Second
	b, err := m.bed(l, bedConfig{})
	if err != nil {
		return err
	}
	defer b.close()
	pick := func(rng *rand.Rand) generator.Call {
		c := generator.Call{
			Service: "mixed", Task: "short", Team: "runners", Timeout: longLimit, Runs: []time.Duration{50 * time.Millisecond},
		}
		if rng.Float64() < longs {
			c.Task, c.Timeout, c.Runs[0] = "long", 2*longLimit, times*c.Runs[0]
		}
		return c
	}
	phases := []generator.Phase{{Rate: load * capacityOf(pick), For: warm + span}}
	all := b.client.Run(time.Now(), generator.Arrivals(m.rng(l), phases, pick))
	l.count(b, all)
	rs := after(all, warm)
	short := generator.Select(rs, func(r *generator.Result) bool { return r.Task == "short" })
	long := generator.Select(rs, func(r *generator.Result) bool { return r.Task == "long" })
	finished := len(doneBetween(long, 0, time.Hour))
	answered := len(doneBetween(short, 0, time.Hour))
	p99 := generator.OverIdeal(doneBetween(short, 0, time.Hour), 99)
	l.add(map[string]any{
		"shortOffered": len(short), "shortAnswered": answered, "shortP50OverIdeal": generator.OverIdeal(short, 50),
		"shortP99OverIdeal": p99, "longOffered": len(long), "longAnswered": finished,
		"longP99OverIdeal": generator.OverIdeal(long, 99),
	})
	l.Met = p99 <= bound && answered == len(short) && finished == len(long)
	return nil
}

func (m *Measurer) badWorkers(l *Line) error {
	const load, share, bad = 0.6, 0.01, 2
	const failAt, grace, span = 3 * time.Second, 2 * time.Second, 9 * time.Second
	b, err := m.bed(l, bedConfig{})
	if err != nil {
		return err
	}
	defer b.close()
	phases := []generator.Phase{{Rate: load * capacityOf(lookUp), For: span}}
	calls := generator.Arrivals(m.rng(l), phases, lookUp)
	start := time.Now()
	failing := map[string]bool{}
	for _, s := range b.servers[:bad] {
		failing[s.Name()] = true
		time.AfterFunc(failAt, func() { s.Failing.Store(true) })
	}
	l.count(b, b.client.Run(start, calls))
	var touched, all int
	for _, s := range b.journal.Starts() {
		if s.At.Sub(start) >= failAt+grace {
			all++
			if failing[s.Server] {
				touched++
			}
		}
	}
	part := float64(touched) / float64(max(all, 1))
	l.add(map[string]any{"touchedShare": part, "touched": touched, "startsAfterGrace": all})
	l.Met = all > 0 && part < share
	return nil
}

func (m *Measurer) lateReports(l *Line) error {
	const workers, load, bound, late, span = 48, 0.6, 1.2, 2 * time.Second, 9 * time.Second
	const run = 200 * time.Millisecond
	sizes := []float64{8, 16, 32}
	free := 0.0
	b, err := m.bed(l, bedConfig{servers: workers, adjust: func(i int, c *replier.Config) {
		// Servers go to the failure domains in turn; i/3 gives each domain the same workers.
		n := i / len(domains)
		c.Services, c.Slots, c.Cores, c.Memory = []string{"work"}, 0, sizes[n%len(sizes)], "32GiB"
		c.Rack, c.ReportDelay = c.FailureDomain+"-rack-"+string(rune('a'+n/8)), late
		if n%4 == 0 {
			c.Background = c.Cores / 2
		}
		free += c.Cores - c.Background
	}})
	if err != nil {
		return err
	}
	defer b.close()
	pick := func(*rand.Rand) generator.Call {
		return generator.Call{Service: "work", Task: "step", Team: "runners", Timeout: shortLimit, Runs: []time.Duration{run}}
	}
	phases := []generator.Phase{{Rate: load * free / run.Seconds(), For: span}}
	calls := generator.Arrivals(m.rng(l), phases, pick)
	ratios := make(chan []float64, 1)
	go func() { ratios <- b.sampleLoad(warm+time.Second, int((span-warm)/time.Second)-1) }()
	l.count(b, b.client.Run(time.Now(), calls))
	each := <-ratios
	slices.Sort(each)
	l.add(map[string]any{"busiestOverMean": each[len(each)/2], "worstBusiestOverMean": each[len(each)-1]})
	l.Note = "busiestOverMean is the median over windows of 1 s of core time used per core, background included"
	l.Met = each[len(each)/2] <= bound && l.Answered == l.Offered
	return nil
}

// sampleLoad returns the busiest worker's load over the mean for each of n windows of 1 s.
func (b *bed) sampleLoad(begin time.Duration, n int) []float64 {
	last := make([]time.Duration, len(b.servers))
	sample := func() float64 {
		var busiest, sum float64
		for i, s := range b.servers {
			used, cores := s.CoreTime()
			load := (used - last[i]).Seconds() / cores
			last[i] = used
			busiest, sum = max(busiest, load), sum+load
		}
		return busiest / (sum / float64(len(b.servers)))
	}
	time.Sleep(begin)
	sample()
	var out []float64
	for range n {
		time.Sleep(time.Second)
		out = append(out, sample())
	}
	return out
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

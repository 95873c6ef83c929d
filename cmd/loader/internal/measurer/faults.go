package measurer

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"reflect"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/cmd/loader/internal/stager"
	"clementineyard/internal/listener"
)

// lastForWave gives each failure domain one more server, with one slot for the wave.
func lastForWave(i int, c *replier.Config) {
	if i >= serversInAll {
		c.Services, c.Slots = []string{"wave"}, 1
	}
}

// cancelWave cancels 10,000 tasks that wait behind one occupied slot in each failure domain.
func cancelWave(b *bed, l *Line) (bool, error) {
	const jobs, each, bound, load = 2000, 5, 0.10, 0.6
	const cancelAt, window, run = 6 * time.Second, 4 * time.Second, 20 * time.Second
	wave := make([]generator.Call, jobs)
	for i := range wave {
		wave[i] = generator.Call{
			At: time.Duration(i) * warm / jobs, Service: "wave", Task: "wait", Team: "runners", Keyed: true, Timeout: 3 * run,
		}
		for range each {
			wave[i].Runs = append(wave[i].Runs, run)
		}
	}
	waves, sums := make(chan struct{}), make(chan listener.CancelAnswer, 1)
	waiting := b.Callers("")
	go func() {
		waiting.Run(time.Now(), wave)
		close(waves)
	}()
	time.AfterFunc(cancelAt, func() {
		var sum listener.CancelAnswer
		in := map[string]any{"team": "runners", "keys": waiting.Open()}
		_, _ = b.Call(http.MethodPost, b.VMs[0].Settings.Listen.Callers+"/v1/cancellations", in, &sum)
		sums <- sum
	})
	rs := b.offer(l, lookUp, generator.Phase{Rate: load * capacityOf(serversInAll*slotsEach, lookUp), For: cancelAt + window})
	sum := <-sums
	<-waves
	before := overIdeal(due(rs, cancelAt-window, cancelAt), 99)
	after := overIdeal(due(rs, cancelAt, cancelAt+window), 99)
	moved := after/before - 1
	l.More["cancelledQueued"], l.More["cancelledRunning"], l.More["ignored"] = sum.NotStarted, sum.Running, sum.Ignored
	l.More["p99OverIdealBefore"], l.More["p99OverIdealAfter"], l.More["moved"] = before, after, moved
	l.note("the counts are those of the running work")
	// Each failure domain's one slot for the wave may be running a task of it.
	queued := sum.NotStarted+sum.Running == jobs*each && sum.Running <= int64(len(domains))
	return queued && moved < bound && moved > -bound, nil
}

// failover kills the owner of one failure domain under load.
func failover(b *bed, l *Line) (bool, error) {
	const load, share, within = 0.7, 0.95, 3 * time.Second
	const killAt, span, window, step = 4 * time.Second, 9 * time.Second, time.Second, 100 * time.Millisecond
	var status struct {
		Owner string `json:"owner"`
	}
	_, _ = b.Operate(b.VMs[0], http.MethodGet, "/v1/status", nil, &status)
	owner := b.VMs[0]
	for _, v := range b.VMs {
		if v.Name == status.Owner {
			owner = v
		}
	}
	time.AfterFunc(killAt, owner.Kill)
	full := capacityOf(serversInAll*slotsEach, lookUp)
	rs := b.offer(l, halfKeyed, generator.Phase{Rate: load * full, For: span})
	before, recovered := rate(rs, warm, killAt), span
	for at := killAt; at+window <= span && recovered == span; at += step {
		if rate(rs, at, at+window) >= share*before {
			recovered = at - killAt
		}
	}
	silent := len(generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.NoAnswer || r.Outcome == "" }))
	l.More["killed"], l.More["rateBefore"] = owner.Name, before
	l.More["recoveredAfterSeconds"], l.More["withoutAnswer"] = recovered.Seconds(), silent
	return l.StartedTwice == 0 && l.FalseNotRun == 0 && silent == 0 && recovered <= within, nil
}

// cutOff cuts one failure domain off for 30 s. Only its own callers are measured.
func cutOff(b *bed, l *Line) (bool, error) {
	const load, share = 0.5, 0.95
	// An unknown result would be honest, but the target asks for a refusal.
	const refusedInside = "noMajority"
	const before, cut, rejoined = 5 * time.Second, 30 * time.Second, 4 * time.Second
	own := b.VMs[len(b.VMs)-1]
	full := capacityOf(serversInAll*slotsEach, lookUp) / float64(len(domains))
	calls := generator.Arrivals(b.rng, []generator.Phase{{Rate: load * full, For: before + cut + rejoined}}, halfKeyed)
	results := make(chan []generator.Result, 1)
	go func() { results <- b.Callers(own.FailureDomain).Run(time.Now(), calls) }()
	time.Sleep(before)
	b.cut(own.FailureDomain, true)
	time.Sleep(cut / 2)
	inside, outside := b.Change(own, "inside"), b.Change(b.VMs[0], "outside")
	inside.Files, outside.Files = marked("inside"), marked("outside")
	refused, taken := b.Propose(own, inside).Verdict, b.Propose(b.VMs[0], outside).Verdict
	time.Sleep(cut / 2)
	b.cut(own.FailureDomain, false)
	rs := <-results
	l.count(b.Journal, rs)
	ratio := rate(rs, before+time.Second, before+cut) / rate(rs, warm, before)
	l.More["rateOverBefore"], l.More["verdictInside"], l.More["verdictOutside"] = ratio, refused, taken
	l.More["oneHistory"] = b.oneHistory()
	return ratio >= share && refused == refusedInside && taken == stager.Accepted && b.oneHistory() && l.StartedTwice == 0, nil
}

// cut silently drops, or stops dropping, all messages between a failure domain and the others.
func (b *bed) cut(failureDomain string, cut bool) {
	for _, from := range b.VMs {
		for _, to := range b.VMs {
			if (from.FailureDomain == failureDomain) != (to.FailureDomain == failureDomain) {
				b.net.Cut(from.Name, to.Name, cut)
			}
		}
	}
}

// marked is a task file that carries a mark, so that a lost change can be told from a newer one.
func marked(mark string) []listener.FileChange {
	return []listener.FileChange{{
		Service: "marked", Content: json.RawMessage(`{"service":"marked","tasks":[{"name":"` + mark + `","timeout":"1s"}]}`),
	}}
}

// oneHistory reports whether every process has the same version and content.
func (b *bed) oneHistory() bool {
	first := b.Configuration(b.VMs[0])
	for _, v := range b.VMs[1:] {
		if !reflect.DeepEqual(b.Configuration(v), first) {
			return false
		}
	}
	return first.Version > 0
}

// calibrate checks the measuring itself against a known figure.
func calibrate(b *bed, l *Line) (bool, error) {
	const known, tolerance, from, to = 80.0, 0.05, 2 * time.Second, 8 * time.Second
	pick := func(*rand.Rand) generator.Call {
		return generator.Call{
			Service: "bench", Task: "lookUp", Team: "runners", Timeout: 3 * longLimit,
			Runs: []time.Duration{100 * time.Millisecond},
		}
	}
	got := rate(b.offer(l, pick, generator.Phase{Rate: 2 * known, For: 5 * time.Second}), from, to)
	l.More["answersPerSecond"] = got
	return got >= known*(1-tolerance) && got <= known*(1+tolerance), nil
}

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

// configureWaveServer configures the last server of each failure domain with one slot for the service wave.
func configureWaveServer(i int, c *replier.Config) {
	if i >= serverCount {
		c.Services, c.Slots = []string{"wave"}, 1
	}
}

// cancelWave cancels 10,000 tasks that are queued behind one occupied slot in each failure domain, and measures the
// latency of other calls before and after.
func cancelWave(b *testbed, l *Line) (bool, error) {
	const jobs, tasksPerJob, maxMoved, load = 2000, 5, 0.10, 0.6
	const cancelAt, window, run = 6 * time.Second, 4 * time.Second, 20 * time.Second
	wave := make([]generator.Call, jobs)
	for i := range wave {
		wave[i] = generator.Call{
			At: time.Duration(i) * warmUp / jobs, Service: "wave", Task: "wait", Team: "runners", Keyed: true, Timeout: 3 * run,
		}
		for range tasksPerJob {
			wave[i].RunTimes = append(wave[i].RunTimes, run)
		}
	}
	waveEnded, cancelAnswers := make(chan struct{}), make(chan listener.CancelAnswer, 1)
	waveClient := b.Client("")
	go func() {
		waveClient.Run(time.Now(), wave)
		close(waveEnded)
	}()
	time.AfterFunc(cancelAt, func() {
		var answer listener.CancelAnswer
		in := map[string]any{"team": "runners", "keys": waveClient.PendingJobKeys()}
		_, _ = b.Call(http.MethodPost, b.VMs[0].Settings.Listen.Callers+"/v1/cancellations", in, &answer)
		cancelAnswers <- answer
	})
	rs := b.offer(l, lookUp, generator.Phase{Rate: load * capacityOf(serverCount*slotsPerServer, lookUp), Duration: cancelAt + window})
	cancelled := <-cancelAnswers
	<-waveEnded
	before := quantileOverIdeal(dueWithin(rs, cancelAt-window, cancelAt), 99)
	after := quantileOverIdeal(dueWithin(rs, cancelAt, cancelAt+window), 99)
	moved := after/before - 1
	l.More["cancelledQueued"], l.More["cancelledRunning"], l.More["ignored"] = cancelled.NotStarted, cancelled.Running, cancelled.Ignored
	l.More["p99OverIdealBefore"], l.More["p99OverIdealAfter"], l.More["moved"] = before, after, moved
	l.addNote("the counts are those of the running work")
	// In each failure domain, the one slot of the service may be running a task.
	allCancelled := cancelled.NotStarted+cancelled.Running == jobs*tasksPerJob && cancelled.Running <= int64(len(domains))
	return allCancelled && moved < maxMoved && moved > -maxMoved, nil
}

// failover kills the owner of one failure domain under load and measures when the rate of answers has recovered.
func failover(b *testbed, l *Line) (bool, error) {
	const load, minRateShare, maxRecovery = 0.7, 0.95, 3 * time.Second
	const killAt, span, window, step = 4 * time.Second, 9 * time.Second, time.Second, 100 * time.Millisecond
	var status struct {
		Owner string `json:"owner"`
	}
	_, _ = b.CallOperators(b.VMs[0], http.MethodGet, "/v1/status", nil, &status)
	owner := b.VMs[0]
	for _, v := range b.VMs {
		if v.Name == status.Owner {
			owner = v
		}
	}
	time.AfterFunc(killAt, owner.Kill)
	fullRate := capacityOf(serverCount*slotsPerServer, lookUp)
	rs := b.offer(l, halfKeyed, generator.Phase{Rate: load * fullRate, Duration: span})
	before, recovered := answerRate(rs, warmUp, killAt), span
	for at := killAt; at+window <= span && recovered == span; at += step {
		if answerRate(rs, at, at+window) >= minRateShare*before {
			recovered = at - killAt
		}
	}
	unanswered := len(generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.NoAnswer || r.Outcome == "" }))
	l.More["killed"], l.More["rateBefore"] = owner.Name, before
	l.More["recoveredAfterSeconds"], l.More["withoutAnswer"] = recovered.Seconds(), unanswered
	return l.StartedTwice == 0 && l.FalseNotRun == 0 && unanswered == 0 && recovered <= maxRecovery, nil
}

// cutOff disconnects one failure domain from the others for 30 s. Only its own callers are measured.
func cutOff(b *testbed, l *Line) (bool, error) {
	const load, minRateShare = 0.5, 0.95
	// An unknown verdict would be correct too, but the target requires a refusal.
	const wantInside = "noMajority"
	const before, cut, rejoined = 5 * time.Second, 30 * time.Second, 4 * time.Second
	isolated := b.VMs[len(b.VMs)-1]
	fullRate := capacityOf(serverCount*slotsPerServer, lookUp) / float64(len(domains))
	calls := generator.Arrivals(b.rng, []generator.Phase{{Rate: load * fullRate, Duration: before + cut + rejoined}}, halfKeyed)
	results := make(chan []generator.Result, 1)
	go func() { results <- b.Client(isolated.FailureDomain).Run(time.Now(), calls) }()
	time.Sleep(before)
	b.setCut(isolated.FailureDomain, true)
	time.Sleep(cut / 2)
	inside, outside := b.Change(isolated, "inside"), b.Change(b.VMs[0], "outside")
	inside.Files, outside.Files = markedTaskFile("inside"), markedTaskFile("outside")
	verdictInside, verdictOutside := b.Propose(isolated, inside).Verdict, b.Propose(b.VMs[0], outside).Verdict
	time.Sleep(cut / 2)
	b.setCut(isolated.FailureDomain, false)
	rs := <-results
	l.addResults(b.Journal, rs)
	ratio := answerRate(rs, before+time.Second, before+cut) / answerRate(rs, warmUp, before)
	l.More["rateOverBefore"], l.More["verdictInside"], l.More["verdictOutside"] = ratio, verdictInside, verdictOutside
	l.More["oneHistory"] = b.sameConfiguration()
	return ratio >= minRateShare && verdictInside == wantInside && verdictOutside == stager.Accepted && b.sameConfiguration() && l.StartedTwice == 0, nil
}

// setCut starts or ends a silent loss of all messages between a failure domain and the others.
func (b *testbed) setCut(failureDomain string, cut bool) {
	for _, from := range b.VMs {
		for _, to := range b.VMs {
			if (from.FailureDomain == failureDomain) != (to.FailureDomain == failureDomain) {
				b.net.Cut(from.Name, to.Name, cut)
			}
		}
	}
}

// markedTaskFile returns a change of the task file of the service marked, whose only task has the mark as its name. The
// mark distinguishes a lost change from a newer one.
func markedTaskFile(mark string) []listener.FileChange {
	return []listener.FileChange{{
		Service: "marked", Content: json.RawMessage(`{"service":"marked","tasks":[{"name":"` + mark + `","timeout":"1s"}]}`),
	}}
}

// sameConfiguration reports whether every process has the same configuration in force, by version and content.
func (b *testbed) sameConfiguration() bool {
	first := b.Configuration(b.VMs[0])
	for _, v := range b.VMs[1:] {
		if !reflect.DeepEqual(b.Configuration(v), first) {
			return false
		}
	}
	return first.Version > 0
}

// calibrate checks the load generator against a known rate of answers.
func calibrate(b *testbed, l *Line) (bool, error) {
	const knownRate, tolerance, from, to = 80.0, 0.05, 2 * time.Second, 8 * time.Second
	pick := func(*rand.Rand) generator.Call {
		return generator.Call{
			Service: "bench", Task: "lookUp", Team: "runners", Timeout: 3 * longTimeout,
			RunTimes: []time.Duration{100 * time.Millisecond},
		}
	}
	got := answerRate(b.offer(l, pick, generator.Phase{Rate: 2 * knownRate, Duration: 5 * time.Second}), from, to)
	l.More["answersPerSecond"] = got
	return got >= knownRate*(1-tolerance) && got <= knownRate*(1+tolerance), nil
}

package measurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/internal/listener"
)

// cancelWave cancels 10,000 tasks that wait behind one occupied server in each failure domain.
func (m *Measurer) cancelWave(l *Line) error {
	const jobs, each, bound, load = 2000, 5, 0.10, 0.6
	const cancelAt, window, waveLimit = 6 * time.Second, 4 * time.Second, 60 * time.Second
	b, err := m.bed(l, bedConfig{servers: serversInAll + len(domains), adjust: func(i int, c *replier.Config) {
		if i >= serversInAll {
			c.Services, c.Slots = []string{"wave"}, 1
		}
	}})
	if err != nil {
		return err
	}
	defer b.close()
	// Tasks of 20 s hold the servers while the wave waits.
	pick := func(*rand.Rand) generator.Call {
		c := generator.Call{Service: "wave", Task: "wait", Team: "runners", Keyed: true, Timeout: waveLimit}
		for range each {
			c.Runs = append(c.Runs, 20*time.Second)
		}
		return c
	}
	wave := make([]generator.Call, jobs)
	for i := range wave {
		wave[i] = pick(nil)
		wave[i].At = time.Duration(i) * warm / jobs
	}
	phases := []generator.Phase{{Rate: load * capacityOf(lookUp), For: cancelAt + window}}
	calls := generator.Arrivals(m.rng(l), phases, lookUp)
	start := time.Now()
	waves := make(chan []generator.Result, 1)
	go func() { waves <- b.client.Run(start, wave) }()
	sums := make(chan listener.CancelAnswer, 1)
	time.AfterFunc(cancelAt, func() { sums <- b.cancelWaiting() })
	rs := b.client.Run(start, calls)
	sum := <-sums
	l.count(b, append(rs, <-waves...))
	// The quantiles and the waste are those of the running work; the wave's own tasks end by being cancelled.
	l.P50OverIdeal, l.P99OverIdeal = generator.OverIdeal(rs, 50), generator.OverIdeal(rs, 99)
	before := generator.OverIdeal(between(rs, cancelAt-window, cancelAt), 99)
	then := generator.OverIdeal(between(rs, cancelAt, cancelAt+window), 99)
	moved := (then - before) / before
	l.add(map[string]any{
		"cancelledQueued": sum.NotStarted, "cancelledRunning": sum.Running, "ignored": sum.Ignored,
		"p99OverIdealBefore": before, "p99OverIdealAfter": then, "moved": moved,
	})
	// Each failure domain's one slot for the wave may be running a task of it.
	queued := sum.NotStarted+sum.Running == jobs*each && sum.Running <= int64(len(domains))
	l.Met = moved < bound && moved > -bound && queued
	return nil
}

// cancelWaiting cancels every job of the wave in one request.
func (b *bed) cancelWaiting() (sum listener.CancelAnswer) {
	body, err := json.Marshal(map[string]any{"team": "runners", "keys": b.client.Open("wave")})
	if err != nil {
		return sum
	}
	resp, err := http.Post("http://"+b.VMs[0].Settings.Listen.Callers+"/v1/cancellations", "application/json", bytes.NewReader(body))
	if err != nil {
		return sum
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&sum)
	return sum
}

func between(rs []generator.Result, from, to time.Duration) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.At >= from && r.At < to })
}

// failover kills the owner of one failure domain under load.
func (m *Measurer) failover(l *Line) error {
	const load, share, within = 0.7, 0.95, 3 * time.Second
	const killAt, span, window, step = 4 * time.Second, 10 * time.Second, time.Second, 100 * time.Millisecond
	b, err := m.bed(l, bedConfig{})
	if err != nil {
		return err
	}
	defer b.close()
	pick := func(rng *rand.Rand) generator.Call {
		c := lookUp(rng)
		c.Keyed = rng.IntN(2) == 0
		return c
	}
	phases := []generator.Phase{{Rate: load * capacityOf(pick), For: span}}
	calls := generator.Arrivals(m.rng(l), phases, pick)
	owner := b.owner(b.VMs[0])
	time.AfterFunc(killAt, owner.Kill)
	rs := b.client.Run(time.Now(), calls)
	l.count(b, rs)
	rate := float64(len(doneBetween(rs, warm, killAt))) / (killAt - warm).Seconds()
	recovered := span
	for at := killAt; at+window <= span; at += step {
		if float64(len(doneBetween(rs, at, at+window))) >= share*rate*window.Seconds() {
			recovered = at - killAt
			break
		}
	}
	silent := len(generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.NoAnswer || r.Outcome == "" }))
	l.add(map[string]any{
		"killed": owner.Name, "rateBefore": rate, "recoveredAfterSeconds": recovered.Seconds(), "withoutAnswer": silent,
	})
	l.Met = l.StartedTwice == 0 && l.FalseNotRun == 0 && silent == 0 && recovered <= within
	return nil
}

// cutOff cuts one failure domain off for 30 s. Only its own callers are measured.
func (m *Measurer) cutOff(l *Line) error {
	if m.cfg.NewCutter == nil {
		l.Note = "not run: the fault proxy is not there yet"
		return nil
	}
	const load, share, before, cut, rejoined = 0.5, 0.95, 6 * time.Second, 30 * time.Second, 6 * time.Second
	b, err := m.bed(l, bedConfig{})
	if err != nil {
		return err
	}
	defer b.close()
	cutter := m.cfg.NewCutter(b.Deployment)
	own := b.VMs[len(b.VMs)-domains[len(domains)-1].VMs:]
	var entries []generator.Entry
	for _, v := range own {
		entries = append(entries, generator.Entry{Address: v.Settings.Listen.Callers, FailureDomain: v.FailureDomain})
	}
	pick := func(rng *rand.Rand) generator.Call {
		c := lookUp(rng)
		c.Keyed = rng.IntN(2) == 0
		return c
	}
	phases := []generator.Phase{{Rate: load * capacityOf(pick) / float64(len(domains)), For: before + cut + rejoined}}
	calls := generator.Arrivals(m.rng(l), phases, pick)
	results := make(chan []generator.Result, 1)
	go func() { results <- generator.NewClient(entries).Run(time.Now(), calls) }()
	time.Sleep(before)
	if err := cutter.Cut(own[0].FailureDomain); err != nil {
		return err
	}
	time.Sleep(cut / 2)
	inside, _ := b.propose(own[0], b.nextChange(own[0], "inside"))
	outside, _ := b.propose(b.VMs[0], b.nextChange(b.VMs[0], "outside"))
	time.Sleep(cut / 2)
	if err := cutter.Join(own[0].FailureDomain); err != nil {
		return err
	}
	rs := <-results
	l.count(b, rs)
	rate := func(from, to time.Duration) float64 { return float64(len(doneBetween(rs, from, to))) / (to - from).Seconds() }
	ratio := rate(before+time.Second, before+cut) / rate(warm, before)
	one := b.oneHistory()
	l.add(map[string]any{"rateOverBefore": ratio, "insideVerdict": inside.Verdict, "outsideVerdict": outside.Verdict, "oneHistory": one})
	l.Met = ratio >= share && inside.Verdict != "accepted" && outside.Verdict == "accepted" && one && l.StartedTwice == 0
	return nil
}

// nextChange edits one task file on top of the version that v has in force.
func (b *bed) nextChange(v *launcher.VM, id string) listener.ChangeRequest {
	c, _ := b.configuration(v)
	return listener.ChangeRequest{ID: id, Author: "bench", BaseVersion: c.Version, Files: []listener.FileChange{marked(id)}}
}

// marked is a task file that carries a mark, so that a lost change can be told from a newer one.
func marked(mark string) listener.FileChange {
	return listener.FileChange{Service: "marked", Content: json.RawMessage(
		fmt.Sprintf(`{"service":"marked","tasks":[{"name":%q,"timeout":"1s"}]}`, mark))}
}

// oneHistory reports whether every process has the same version and content.
func (b *bed) oneHistory() bool {
	first, err := b.configuration(b.VMs[0])
	if err != nil {
		return false
	}
	for _, v := range b.VMs[1:] {
		if c, err := b.configuration(v); err != nil || !reflect.DeepEqual(c, first) {
			return false
		}
	}
	return true
}

// sighting is what one process showed at one time.
type sighting struct {
	at      time.Time
	version uint64
	ready   bool
}

// spread publishes 300 changes, one base version after the other, while processes are killed and restarted.
func (m *Measurer) spread(l *Line) error {
	const changes, pace, bound = 300, 40 * time.Millisecond, time.Second
	b, err := m.bed(l, bedConfig{servers: len(domains)})
	if err != nil {
		return err
	}
	defer b.close()
	stop := make(chan struct{})
	var watchers, killer sync.WaitGroup
	seen := make([][]sighting, len(b.VMs))
	for i, v := range b.VMs {
		watchers.Go(func() { seen[i] = b.watch(v, stop) })
	}
	ended := make(chan struct{})
	rng := m.rng(l)
	killer.Go(func() { b.killInTurn(rng, ended) })
	accepted := map[uint64]time.Time{}
	var last string
	for i := range changes {
		mark := fmt.Sprintf("change-%d", i)
		if version := b.publishOne(i, mark); version > 0 {
			accepted[version], last = time.Now(), mark
		}
		time.Sleep(pace)
	}
	close(ended)
	killer.Wait()
	time.Sleep(2 * bound)
	close(stop)
	watchers.Wait()
	lags, late, reverted := spreadFigures(seen, accepted)
	final, _ := b.configuration(b.VMs[0])
	kept := bytes.Contains(final.Files["marked"], []byte(`"`+last+`"`)) && b.oneHistory()
	p99 := time.Duration(0)
	if len(lags) > 0 {
		slices.Sort(lags)
		p99 = lags[len(lags)*99/100]
	}
	l.Offered, l.Answered = changes, len(accepted)
	l.add(map[string]any{
		"acceptedChanges": len(accepted), "inForceP99Milliseconds": millis(p99), "observations": len(lags),
		"neverInForce": late, "reverted": reverted, "lastChangeEverywhere": kept,
	})
	l.Met = len(accepted) == changes && len(lags) > 0 && p99 <= bound && late*100 <= len(lags) && reverted == 0 && kept
	return nil
}

// publishOne sends a change with the same id until it is accepted; it returns 0 when that takes longer than 10 s.
func (b *bed) publishOne(i int, mark string) uint64 {
	deadline := time.Now().Add(inForceWithin)
	ch := listener.ChangeRequest{}
	for n := i; time.Now().Before(deadline); n++ {
		v := b.VMs[n%len(b.VMs)]
		if ch.ID == "" {
			ch = b.nextChange(v, mark)
			if ch.BaseVersion == 0 {
				ch = listener.ChangeRequest{}
				continue
			}
		}
		a, err := b.propose(v, ch)
		if err == nil && a.Verdict == "accepted" {
			return a.Version
		}
		if err == nil && a.Verdict == "conflict" {
			// The base was read from a process that lagged; the id may be used again because nothing was accepted.
			ch.BaseVersion = a.Version
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}

func (b *bed) watch(v *launcher.VM, stop chan struct{}) []sighting {
	const every = 10 * time.Millisecond
	var out []sighting
	for {
		select {
		case <-stop:
			return out
		case <-time.After(every):
		}
		var r struct {
			Ready bool `json:"ready"`
		}
		s := sighting{at: time.Now()}
		if c, err := b.configuration(v); err == nil && b.operate(v, http.MethodGet, "/ready", nil, &r) == nil {
			s.version, s.ready = c.Version, r.Ready
		}
		out = append(out, s)
	}
}

// killInTurn kills one process after the other and restarts each after half a second.
func (b *bed) killInTurn(rng *rand.Rand, ended chan struct{}) {
	const up, down = time.Second, 500 * time.Millisecond
	for {
		select {
		case <-ended:
			return
		case <-time.After(up):
		}
		v := b.VMs[rng.IntN(len(b.VMs))]
		v.Kill()
		time.Sleep(down)
		_ = b.Start(v)
	}
}

// spreadFigures returns how long each accepted version took to come into force on each process that was ready at the
// time, how many never did, and how often a ready process went back to an older version than it had shown. A process
// that was not ready when the change was accepted counts from the time it is ready again.
func spreadFigures(seen [][]sighting, accepted map[uint64]time.Time) (lags []time.Duration, never, reverted int) {
	for _, list := range seen {
		newest := uint64(0)
		for _, s := range list {
			if s.ready && s.version < newest {
				reverted++
				newest = s.version
			}
			newest = max(newest, s.version)
		}
		for version, at := range accepted {
			switch lag, ok := lagOf(list, version, at); {
			case ok:
				lags = append(lags, lag)
			default:
				never++
			}
		}
	}
	return lags, never, reverted
}

func lagOf(list []sighting, version uint64, at time.Time) (time.Duration, bool) {
	from := at
	for _, s := range list {
		switch {
		case s.at.Before(at) && s.version < version:
			continue
		case s.ready && s.version >= version:
			return max(s.at.Sub(from), 0), true
		case !s.ready:
			from = s.at
		}
	}
	return 0, false
}

package measurer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/forwarder"
	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/cmd/loader/internal/stager"
	"clementineyard/cmd/loader/internal/waiter"
	"clementineyard/internal/parser"
)

// Measurer runs scenarios one after the other, so that they do not disturb each other.
type Measurer struct {
	Seed uint64
	// Out receives the lines, Progress what is being done.
	Out, Progress io.Writer

	// mu keeps the lines of scenarios that run beside each other apart.
	mu      sync.Mutex
	besides sync.WaitGroup
}

// Policies of the entry processes; baseline is a random server, first in first out, no limit and no learning.
const (
	ours     = parser.PolicyDefault
	baseline = parser.PolicyBaseline
)

type scenario struct {
	name, target string
	// compared scenarios run with the baseline too, and with the policies of variants.
	compared bool
	variants []string
	// faulty scenarios do not count for the wasted messages of all.
	faulty bool
	// proxied scenarios have the fault proxy between the entry processes.
	proxied bool
	// beside scenarios put hardly any load on the machine and run beside the next one, so that all end in five minutes.
	beside bool
	stage  stager.Config
	// run measures on a running deployment and returns whether the target is met.
	run func(b *bed, l *Line) (bool, error)
}

const (
	calibration  = "calibration"
	wastedTarget = 0.02
	targetWasted = "wasted messages at most 0.02 a start over all scenarios but the faulty ones"
)

var scenarios = []scenario{
	{
		name: "overhead", compared: true, run: overhead,
		target: "median at most 1.05 times the ideal, 99th percentile at most 1.2",
	},
	{
		name: "crest", compared: true, run: crest, stage: stager.Config{Servers: crestServers},
		target: "answered in time at least 95% of what the slots can do; refusals within 50 ms at the 99th percentile; none untrue",
	},
	{
		name: "shortBehindLong", compared: true, run: shortBehindLong,
		target: "99th percentile of short work at most 2 times the ideal; long work still finishes",
	},
	{
		name: "badWorkers", compared: true, faulty: true, run: badWorkers,
		target: "under 1% of tasks touch them after the first 2 s",
	},
	{
		name: "lateReports", compared: true, run: lateReports, stage: stager.Config{Servers: workers, Adjust: asWorker},
		target:   "busiest over mean load at most 1.2",
		variants: []string{parser.PolicyLastReport, parser.PolicySmoothedReport},
	},
	{
		name: "cancelWave", run: cancelWave, stage: stager.Config{Servers: serversInAll + len(domains), Adjust: lastForWave},
		target: "running work's 99th percentile moves by less than 10%",
	},
	{
		name: "failover", faulty: true, run: failover,
		target: "nothing starts twice; every caller has an answer or an honest failure; 95% of the rate again within 3 s",
	},
	{
		name: "spread", faulty: true, beside: true, run: spread, stage: stager.Config{Servers: len(domains)},
		target: "in force on every live process within 1 s at the 99th percentile; none reverted",
	},
	{
		name: "cutOff", faulty: true, proxied: true, run: cutOff,
		target: "serves its own at 95% of its rate; changes refused there; one history afterwards",
	},
	{
		name: "capacity", run: capacity, stage: stager.Config{Domains: oneVM, Cores: "2"},
		target: "decision at most 2 µs; at least 12,000 starts/s on two cores",
	},
	// Not one of the ten: 8 slots and tasks of 100 ms are known to give 80 answers a second.
	{
		name: calibration, faulty: true, run: calibrate, stage: stager.Config{Domains: oneVM, Servers: 1},
		target: "80 answers a second within 5%",
	},
}

// Run measures one scenario, or all ten when name is empty.
func (m *Measurer) Run(name string) error {
	sum, found := Line{Scenario: "all", Policy: ours, Target: targetWasted}, false
	for _, s := range scenarios {
		if s.name != name && (name != "" || s.name == calibration) {
			continue
		}
		found = true
		if s.beside && name == "" {
			m.besides.Go(func() {
				if _, err := m.one(s, ours); err != nil {
					m.note(err.Error())
				}
			})
			continue
		}
		l, err := m.one(s, ours)
		m.besides.Wait()
		others := s.variants
		if s.compared {
			others = append([]string{baseline}, others...)
		}
		for _, policy := range others {
			if err == nil {
				_, err = m.one(s, policy)
			}
		}
		if err != nil {
			return err
		}
		if !s.faulty {
			sum.messages, sum.starts, sum.Answered = sum.messages+l.messages, sum.starts+l.starts, sum.Answered+l.Answered
		}
	}
	switch {
	case !found:
		return eris.Errorf("no scenario %q", name)
	case name != "":
		return nil
	}
	sum.waste()
	sum.Met = sum.starts > 0 && sum.WastedMessagesPerStart <= wastedTarget
	return json.NewEncoder(m.Out).Encode(sum)
}

func (m *Measurer) one(s scenario, policy string) (*Line, error) {
	begin := time.Now()
	l := &Line{Scenario: s.name, Policy: policy, Target: s.target, More: map[string]any{}}
	var err error
	if l.Met, err = m.measure(s, l); err != nil {
		// A scenario that could not run has not met its target; the others are still measured.
		l.note("not run to its end: " + err.Error())
	}
	m.note(fmt.Sprintf("%s, %s: %.1f s, met %t.", s.name, policy, time.Since(begin).Seconds(), l.Met))
	m.mu.Lock()
	defer m.mu.Unlock()
	return l, json.NewEncoder(m.Out).Encode(l)
}

// note tells the progress.
func (m *Measurer) note(s string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, _ = fmt.Fprintln(m.Progress, s)
}

func (m *Measurer) measure(s scenario, l *Line) (bool, error) {
	cfg := s.stage
	cfg.Files, cfg.Services, cfg.Slots = taskFiles, []string{"bench", "mixed"}, slotsEach
	if l.Policy != ours {
		cfg.Policy = l.Policy
	}
	if cfg.Domains == nil {
		cfg.Domains = domains
	}
	cfg.Servers = cmp.Or(cfg.Servers, serversInAll)
	net := forwarder.New()
	defer net.Close()
	if s.proxied {
		cfg.Route = net.Add
	}
	stage, err := stager.New(cfg)
	if err != nil {
		return false, err
	}
	defer stage.Close()
	// The same numbers for both policies, so that they see the same load.
	h := fnv.New64a()
	_, _ = io.WriteString(h, s.name)
	b := &bed{Stage: stage, net: net, rng: rand.New(rand.NewPCG(m.Seed, h.Sum64()))}
	waiter.Lateness()
	met, err := s.run(b, l)
	l.machine()
	overfilled := int64(0)
	for _, sv := range b.Servers {
		overfilled += sv.Overfilled()
	}
	l.More["overfilled"] = overfilled
	return met, err
}

// bed is a running deployment with what a scenario needs beside it.
type bed struct {
	*stager.Stage
	net *forwarder.Network
	rng *rand.Rand
}

// offer runs the load of the phases on all entry processes and counts it.
func (b *bed) offer(l *Line, pick func(*rand.Rand) generator.Call, phases ...generator.Phase) []generator.Result {
	rs := b.Callers("").Run(time.Now(), generator.Arrivals(b.rng, phases, pick))
	l.count(b.Journal, rs)
	return rs
}

// Line is one object of the output, see section 10 of docs/design.md. Counts are of tasks.
type Line struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Offered  int    `json:"offered"`
	// Answered counts whole answers in time.
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refusedNotRun"`
	// Unknown includes calls whose connection closed without an answer.
	Unknown int `json:"unknown"`
	// Failed counts the tasks of answers that are late or whose work failed, and calls that got no answer at all.
	Failed         int `json:"failed"`
	StartedTwice   int `json:"startedTwice"`
	PartialAnswers int `json:"partialAnswers"`
	// FalseNotRun counts calls that were told "notRun" and started at a server.
	FalseNotRun            int     `json:"falseNotRun"`
	P50OverIdeal           float64 `json:"p50OverIdeal"`
	P99OverIdeal           float64 `json:"p99OverIdeal"`
	WastedMessagesPerStart float64 `json:"wastedMessagesPerStart"`
	Target                 string  `json:"target"`
	Met                    bool    `json:"met"`
	Note                   string  `json:"note,omitempty"`
	// More holds the figures that only this scenario has.
	More map[string]any `json:"more,omitempty"`

	messages, starts int
}

func (l *Line) note(s string) {
	if l.Note != "" {
		s = l.Note + "; " + s
	}
	l.Note = s
}

// machine adds how late the load generator's own waits ended; a request holds three of them.
func (l *Line) machine() {
	// Three waits of 1 ms are 5% of a task of 50 ms.
	const busy = time.Millisecond
	late := waiter.Lateness()
	l.More["waitLateP99Milliseconds"] = float64(late.Microseconds()) / 1000
	if late > busy {
		l.note("the machine was busy: the load generator's own waits ended late, which the latencies include")
	}
}

// count fills the line from the results of one run.
func (l *Line) count(j *replier.Journal, rs []generator.Result) {
	started := map[string]bool{}
	starts := j.Starts()
	for _, s := range starts {
		started[s.Key] = true
	}
	for i := range rs {
		l.countOne(&rs[i], started)
	}
	whole := generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.Answered && r.Complete })
	l.P50OverIdeal, l.P99OverIdeal = overIdeal(whole, 50), overIdeal(whole, 99)
	l.StartedTwice, l.messages, l.starts = j.StartedTwice(), int(j.Messages()), len(starts)
	l.waste()
}

func (l *Line) countOne(r *generator.Result, started map[string]bool) {
	n := len(r.Runs)
	l.Offered += n
	if r.Outcome == generator.Answered && r.Complete && r.Good != n {
		l.PartialAnswers++
	}
	switch {
	case r.InTime():
		l.Answered += n
	case r.Outcome == generator.NotRun:
		l.RefusedNotRun += n
		if started[r.ID] {
			l.FalseNotRun++
		}
	case r.Outcome == generator.Unknown || r.Outcome == generator.Closed:
		l.Unknown += n
	default:
		l.Failed += n
	}
}

// waste counts every message that reached a server and did not lead to a counted answer. A message to a server that
// cannot be reached at all is not seen here.
func (l *Line) waste() {
	l.WastedMessagesPerStart = float64(max(l.messages-l.Answered, 0)) / float64(max(l.starts, 1))
}

func overIdeal(rs []generator.Result, quantile float64) float64 {
	return generator.Quantile(rs, quantile, (*generator.Result).Ratio)
}

// due returns the calls whose intended time lies in [from, to).
func due(rs []generator.Result, from, to time.Duration) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.At >= from && r.At < to })
}

// done returns the calls answered in time whose answer came in [from, to).
func done(rs []generator.Result, from, to time.Duration) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.InTime() && r.Done >= from && r.Done < to })
}

// rate is the answers in time per second in [from, to).
func rate(rs []generator.Result, from, to time.Duration) float64 {
	return float64(len(done(rs, from, to))) / (to - from).Seconds()
}

func of(rs []generator.Result, task string) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.Task == task })
}

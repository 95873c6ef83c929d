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

// Measurer runs the scenarios one after the other, so that they do not influence each other's figures.
type Measurer struct {
	Seed uint64
	// Out receives one JSON object per line, Progress one line of text for each scenario and policy that has ended.
	Out, Progress io.Writer

	// mu serialises the output of scenarios that run concurrently.
	mu             sync.Mutex
	concurrentRuns sync.WaitGroup
}

// Scheduling policies of the entry processes. baselinePolicy chooses a random server, queues first in, first out,
// limits no load and learns no run times.
const (
	defaultPolicy  = parser.PolicyDefault
	baselinePolicy = parser.PolicyBaseline
)

type scenario struct {
	name, target string
	// withBaseline scenarios run with the baseline policy too, and then with otherPolicies.
	withBaseline  bool
	otherPolicies []string
	// withFaults scenarios are left out of the total of wasted messages.
	withFaults bool
	// withProxy scenarios have the fault proxy between the entry processes.
	withProxy bool
	// concurrent scenarios put hardly any load on the machine. They run at the same time as the next scenario, so that all
	// scenarios end within five minutes.
	concurrent bool
	stage      stager.Config
	// run measures on a running deployment and returns whether the target is met.
	run func(b *testbed, l *Line) (bool, error)
}

const (
	calibration       = "calibration"
	maxWastedPerStart = 0.02
	wastedTarget      = "wasted messages at most 0.02 a start over all scenarios but the faulty ones"
)

var scenarios = []scenario{
	{
		name: "overhead", withBaseline: true, run: overhead,
		target: "median at most 1.05 times the ideal, 99th percentile at most 1.2",
	},
	{
		name: "crest", withBaseline: true, run: crest, stage: stager.Config{Servers: crestServers},
		target: "answered in time at least 95% of what the slots can do; refusals within 50 ms at the 99th percentile; none untrue",
	},
	{
		name: "shortBehindLong", withBaseline: true, run: shortBehindLong,
		target: "99th percentile of short work at most 2 times the ideal; long work still finishes",
	},
	{
		name: "badWorkers", withBaseline: true, withFaults: true, run: badWorkers,
		target: "under 1% of tasks touch them after the first 2 s",
	},
	{
		name: "lateReports", withBaseline: true, run: lateReports, stage: stager.Config{Servers: workerCount, Adjust: configureWorker},
		target:        "busiest over mean load at most 1.2",
		otherPolicies: []string{parser.PolicyLastReport, parser.PolicySmoothedReport},
	},
	{
		name: "cancelWave", run: cancelWave, stage: stager.Config{Servers: serverCount + len(domains), Adjust: configureWaveServer},
		target: "running work's 99th percentile moves by less than 10%",
	},
	{
		name: "failover", withFaults: true, run: failover,
		target: "nothing starts twice; every caller has an answer or an honest failure; 95% of the rate again within 3 s",
	},
	{
		name: "spread", withFaults: true, concurrent: true, run: spread, stage: stager.Config{Servers: len(domains)},
		target: "in force on every live process within 1 s at the 99th percentile; none reverted",
	},
	{
		name: "cutOff", withFaults: true, withProxy: true, run: cutOff,
		target: "serves its own at 95% of its rate; changes refused there; one history afterwards",
	},
	{
		name: "capacity", run: capacity, stage: stager.Config{Domains: oneVM, Cores: "2"},
		target: "decision at most 2 µs; at least 12,000 starts/s on two cores",
	},
	// calibration is not one of the ten scenarios. It checks the load generator itself: 8 slots that run tasks of 100 ms
	// give 80 answers per second.
	{
		name: calibration, withFaults: true, run: calibrate, stage: stager.Config{Domains: oneVM, Servers: 1},
		target: "80 answers a second within 5%",
	},
}

// Run measures the scenario with the given name, or all ten when name is empty. It returns an error when no scenario
// has that name; a missed target is no error.
func (m *Measurer) Run(name string) error {
	total, found := Line{Scenario: "all", Policy: defaultPolicy, Target: wastedTarget}, false
	for _, s := range scenarios {
		if s.name != name && (name != "" || s.name == calibration) {
			continue
		}
		found = true
		if s.concurrent && name == "" {
			m.concurrentRuns.Go(func() {
				if _, err := m.runScenario(s, defaultPolicy); err != nil {
					m.logProgress(err.Error())
				}
			})
			continue
		}
		l, err := m.runScenario(s, defaultPolicy)
		m.concurrentRuns.Wait()
		others := s.otherPolicies
		if s.withBaseline {
			others = append([]string{baselinePolicy}, others...)
		}
		for _, policy := range others {
			if err == nil {
				_, err = m.runScenario(s, policy)
			}
		}
		if err != nil {
			return err
		}
		if !s.withFaults {
			total.messages, total.starts, total.Answered = total.messages+l.messages, total.starts+l.starts, total.Answered+l.Answered
		}
	}
	switch {
	case !found:
		return eris.Errorf("no scenario %q", name)
	case name != "":
		return nil
	}
	total.updateWasted()
	total.Met = total.starts > 0 && total.WastedMessagesPerStart <= maxWastedPerStart
	return json.NewEncoder(m.Out).Encode(total)
}

func (m *Measurer) runScenario(s scenario, policy string) (*Line, error) {
	begin := time.Now()
	l := &Line{Scenario: s.name, Policy: policy, Target: s.target, More: map[string]any{}}
	var err error
	if l.Met, err = m.measure(s, l); err != nil {
		// A scenario that failed to run has not met its target. The remaining scenarios are still measured.
		l.addNote("not run to its end: " + err.Error())
	}
	m.logProgress(fmt.Sprintf("%s, %s: %.1f s, met %t.", s.name, policy, time.Since(begin).Seconds(), l.Met))
	m.mu.Lock()
	defer m.mu.Unlock()
	return l, json.NewEncoder(m.Out).Encode(l)
}

// logProgress writes one line to Progress.
func (m *Measurer) logProgress(s string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, _ = fmt.Fprintln(m.Progress, s)
}

func (m *Measurer) measure(s scenario, l *Line) (bool, error) {
	cfg := s.stage
	cfg.Files, cfg.Services, cfg.Slots = taskFiles, []string{"bench", "mixed"}, slotsPerServer
	if l.Policy != defaultPolicy {
		cfg.Policy = l.Policy
	}
	if cfg.Domains == nil {
		cfg.Domains = domains
	}
	cfg.Servers = cmp.Or(cfg.Servers, serverCount)
	net := forwarder.New()
	defer net.Close()
	if s.withProxy {
		cfg.Route = net.Add
	}
	stage, err := stager.New(cfg)
	if err != nil {
		return false, err
	}
	defer stage.Close()
	// The random numbers do not depend on the policy, so that all policies receive the same load.
	h := fnv.New64a()
	_, _ = io.WriteString(h, s.name)
	b := &testbed{Stage: stage, net: net, rng: rand.New(rand.NewPCG(m.Seed, h.Sum64()))}
	waiter.Lateness()
	met, err := s.run(b, l)
	l.addLateness()
	overfilled := int64(0)
	for _, server := range b.Servers {
		overfilled += server.TasksOverSlots()
	}
	l.More["overfilled"] = overfilled
	return met, err
}

// testbed is a running deployment with the fault proxy and the random numbers of a scenario.
type testbed struct {
	*stager.Stage
	net *forwarder.Network
	rng *rand.Rand
}

// offer sends the load of the phases to all entry processes and adds the results to the line.
func (b *testbed) offer(l *Line, pick func(*rand.Rand) generator.Call, phases ...generator.Phase) []generator.Result {
	rs := b.Client("").Run(time.Now(), generator.Arrivals(b.rng, phases, pick))
	l.addResults(b.Journal, rs)
	return rs
}

// Line is one JSON object of the output; see section 10 of docs/design.md. Unless stated otherwise its counts are
// numbers of tasks.
type Line struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Offered  int    `json:"offered"`
	// Answered counts the tasks of calls that were answered completely within their timeout.
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refusedNotRun"`
	// Unknown includes the tasks of calls whose connection was closed without an answer.
	Unknown int `json:"unknown"`
	// Failed counts the tasks of calls that were answered late, that have a failed task or that had no answer at all.
	Failed         int `json:"failed"`
	StartedTwice   int `json:"startedTwice"`
	PartialAnswers int `json:"partialAnswers"`
	// FalseNotRun counts the calls with outcome notRun of which a server started a task.
	FalseNotRun            int     `json:"falseNotRun"`
	P50OverIdeal           float64 `json:"p50OverIdeal"`
	P99OverIdeal           float64 `json:"p99OverIdeal"`
	WastedMessagesPerStart float64 `json:"wastedMessagesPerStart"`
	Target                 string  `json:"target"`
	Met                    bool    `json:"met"`
	Note                   string  `json:"note,omitempty"`
	// More holds figures that are specific to the scenario.
	More map[string]any `json:"more,omitempty"`

	messages, starts int
}

func (l *Line) addNote(s string) {
	if l.Note != "" {
		s = l.Note + "; " + s
	}
	l.Note = s
}

// addLateness adds how late the load generator's own waits ended. Each request contains three of them.
func (l *Line) addLateness() {
	// Three waits that end 1 ms late exceed 5% of a task of 50 ms.
	const busy = time.Millisecond
	late := waiter.Lateness()
	l.More["waitLateP99Milliseconds"] = float64(late.Microseconds()) / 1000
	if late > busy {
		l.addNote("the machine was busy: the load generator's own waits ended late, which the latencies include")
	}
}

// addResults adds the results of one load to the line and sets its quantiles, starts and messages.
func (l *Line) addResults(j *replier.Journal, rs []generator.Result) {
	started := map[string]bool{}
	starts := j.Starts()
	for _, s := range starts {
		started[s.Key] = true
	}
	for i := range rs {
		l.addResult(&rs[i], started)
	}
	complete := generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.Answered && r.Complete })
	l.P50OverIdeal, l.P99OverIdeal = quantileOverIdeal(complete, 50), quantileOverIdeal(complete, 99)
	l.StartedTwice, l.messages, l.starts = j.StartedTwice(), int(j.ReceivedTasks()), len(starts)
	l.updateWasted()
}

func (l *Line) addResult(r *generator.Result, started map[string]bool) {
	n := len(r.RunTimes)
	l.Offered += n
	if r.Outcome == generator.Answered && r.Complete && r.GoodTasks != n {
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

// updateWasted sets the number of wasted messages per start: those that reached a server and led to no counted answer.
// It does not include messages to a server that cannot be reached.
func (l *Line) updateWasted() {
	l.WastedMessagesPerStart = float64(max(l.messages-l.Answered, 0)) / float64(max(l.starts, 1))
}

// quantileOverIdeal returns a percentile of the latency divided by the ideal.
func quantileOverIdeal(rs []generator.Result, quantile float64) float64 {
	return generator.Quantile(rs, quantile, (*generator.Result).LatencyOverIdeal)
}

// dueWithin returns the calls whose intended time lies in [from, to).
func dueWithin(rs []generator.Result, from, to time.Duration) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.At >= from && r.At < to })
}

// answeredWithin returns the calls that were answered within their timeout and whose answer was received in [from, to).
func answeredWithin(rs []generator.Result, from, to time.Duration) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.InTime() && r.Done >= from && r.Done < to })
}

// answerRate returns how many calls per second answeredWithin returns for [from, to).
func answerRate(rs []generator.Result, from, to time.Duration) float64 {
	return float64(len(answeredWithin(rs, from, to))) / (to - from).Seconds()
}

// resultsOf returns the calls of one task.
func resultsOf(rs []generator.Result, task string) []generator.Result {
	return generator.Select(rs, func(r *generator.Result) bool { return r.Task == task })
}

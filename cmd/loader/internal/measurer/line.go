package measurer

import (
	"maps"
	"strings"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/waiter"
)

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

	messages, starts, useful int
}

// add puts a figure of the scenario's own into the line.
func (l *Line) add(figures map[string]any) {
	if l.More == nil {
		l.More = map[string]any{}
	}
	maps.Copy(l.More, figures)
}

// busyMachine is the lateness of waits above which the machine shows in the latencies: 2% of a task of 50 ms.
const busyMachine = time.Millisecond

// machine adds how late the load generator's own waits ended; a request holds three of them.
func (l *Line) machine() {
	p50, p99 := waiter.Lateness()
	if p99 == 0 {
		return // Nothing was waited for.
	}
	l.add(map[string]any{"waitLateP50Milliseconds": millis(p50), "waitLateP99Milliseconds": millis(p99)})
	if p99 > busyMachine {
		l.Note = strings.TrimPrefix(l.Note+"; the machine was busy: its own waits ended late (waitLate), which the latencies include", "; ")
	}
}

// count fills the line from the results of one run. Every message that reached a server and did not lead to a counted
// answer is wasted. A message to a server that cannot be reached at all is not seen here.
func (l *Line) count(b *bed, rs []generator.Result) {
	started := map[string]bool{}
	starts := b.journal.Starts()
	for _, s := range starts {
		started[s.Key] = true
	}
	for i := range rs {
		l.countOne(&rs[i], started)
	}
	whole := generator.Select(rs, func(r *generator.Result) bool { return r.Outcome == generator.Answered && r.Complete })
	l.P50OverIdeal, l.P99OverIdeal = generator.OverIdeal(whole, 50), generator.OverIdeal(whole, 99)
	l.StartedTwice = b.journal.StartedTwice()
	l.messages, l.starts, l.useful = int(b.journal.Messages()), len(starts), l.Answered
	l.WastedMessagesPerStart = wasted(l.messages, l.useful, l.starts)
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

func wasted(messages, useful, starts int) float64 {
	return float64(max(messages-useful, 0)) / float64(max(starts, 1))
}

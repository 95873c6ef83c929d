package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"clementineyard/internal/counter"
	"clementineyard/internal/dispatcher"
	"clementineyard/internal/listener"
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// metrics holds the process's tally scope and the HTTP handler that serves it.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	// reported holds the counter totals reported so far. The parts count on their own and do not know the scope.
	reported map[string]int64
}

func newMetrics() *metrics {
	scope, handler := counter.New()
	return &metrics{scope: scope, handler: handler, reported: map[string]int64{}}
}

// raiseCounter raises a counter to a total that a part has counted.
func (m *metrics) raiseCounter(name string, tags map[string]string, total int64) {
	id := name
	for k, v := range tags {
		id += "," + k + "=" + v
	}
	m.scope.Tagged(tags).Counter(name).Inc(total - m.reported[id])
	m.reported[id] = total
}

func (m *metrics) setGauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

// reportMetrics reports the counts of the parts until ctx is done. Only its goroutine accesses r.metrics.reported.
func (r *Runner) reportMetrics(ctx context.Context) {
	t := time.NewTicker(counter.ReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.metrics.reportDispatcher(&r.dispatcher.Counters)
			r.metrics.reportScheduler(r.dispatcher.Stats())
			r.reportPeers()
			r.metrics.setGauge("configuration_version", float64(r.configurer.Current().Version))
			r.metrics.setGauge("evacuated_failure_domains", float64(len(r.configurer.Current().EvacuatedDomains())))
		}
	}
}

func (m *metrics) reportDispatcher(c *dispatcher.Counters) {
	m.raiseCounter("starts", nil, c.Starts.Load())
	m.raiseCounter("retries", nil, c.Retries.Load())
	m.raiseCounter("submissions", map[string]string{"outcome": "answered"}, c.Answered.Load())
	m.raiseCounter("submissions", map[string]string{"outcome": "not_run"}, c.NotRun.Load())
	m.raiseCounter("submissions", map[string]string{"outcome": "unknown"}, c.Unknown.Load())
	m.raiseCounter("cancelled_tasks", map[string]string{"state": "queued"}, c.CancelledQueued.Load())
	m.raiseCounter("cancelled_tasks", map[string]string{"state": "running"}, c.CancelledRunning.Load())
	for i := range c.Refused {
		if n := c.Refused[i].Load(); n > 0 {
			m.raiseCounter("refusals", map[string]string{"reason": listener.ReasonName(wire.Reason(i))}, n)
		}
	}
}

func (m *metrics) reportScheduler(st scheduler.Stats) {
	for _, g := range []struct {
		name, tag, tagValue string
		value               float64
	}{
		{"queued_tasks", "class", "short", float64(st.QueuedShort)},
		{"queued_tasks", "class", "long", float64(st.QueuedLong)},
		{"running_tasks", "", "", float64(st.Running)},
		{"overrun_tasks", "", "", float64(st.Overrun)},
		{"quarantined_servers", "", "", float64(st.Quarantined)},
		{"learned_tasks", "", "", float64(st.LearnedTaskTypes)},
		{"wait_error_seconds", "of", "bias", st.WaitError.Bias.Seconds()},
		{"wait_error_seconds", "of", "mean_absolute", st.WaitError.MeanAbsolute.Seconds()},
		{"wait_error_seconds", "of", "upper", st.WaitError.P90.Seconds()},
	} {
		scope := m.scope
		if g.tag != "" {
			scope = scope.Tagged(map[string]string{g.tag: g.tagValue})
		}
		scope.Gauge(g.name).Update(g.value)
	}
}

func (r *Runner) reportPeers() {
	p := r.pinger.Stats()
	r.metrics.raiseCounter("datagram_bytes", map[string]string{"direction": "sent"}, p.SentBytes)
	r.metrics.raiseCounter("datagram_bytes", map[string]string{"direction": "received"}, p.ReceivedBytes)
	r.metrics.raiseCounter("datagrams_rejected", nil, p.Rejected)
	r.metrics.raiseCounter("datagrams_dropped", nil, p.Dropped)
	reachable := 0
	r.detectorMu.Lock()
	for _, v := range r.detector.Peers(time.Now()) {
		if v.Reachable {
			reachable++
		}
	}
	r.detectorMu.Unlock()
	r.metrics.setGauge("entry_vms_reachable", float64(reachable))
}

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

// metrics is the process's tally scope and the handler that shows it in the usual text format.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	// last holds the values reported so far; the parts count for themselves, without knowing the scope.
	last map[string]int64
}

func newMetrics() *metrics {
	scope, handler := counter.New()
	return &metrics{scope: scope, handler: handler, last: map[string]int64{}}
}

// count raises a counter to a total that a part has counted itself.
func (m *metrics) count(name string, tags map[string]string, total int64) {
	id := name
	for k, v := range tags {
		id += "," + k + "=" + v
	}
	m.scope.Tagged(tags).Counter(name).Inc(total - m.last[id])
	m.last[id] = total
}

func (m *metrics) gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

// collect reports the parts' counts until the context ends. It is the only thread that touches m.last.
func (r *Runner) collect(ctx context.Context) {
	t := time.NewTicker(counter.CollectEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.metrics.dispatcher(&r.dispatcher.Counters)
			r.metrics.scheduler(r.dispatcher.Stats())
			r.collectPeers()
			r.metrics.gauge("configuration_version", float64(r.configurer.Current().Version))
		}
	}
}

func (m *metrics) dispatcher(c *dispatcher.Counters) {
	m.count("starts", nil, c.Starts.Load())
	m.count("retries", nil, c.Retries.Load())
	m.count("submissions", map[string]string{"outcome": "answered"}, c.Answered.Load())
	m.count("submissions", map[string]string{"outcome": "not_run"}, c.NotRun.Load())
	m.count("submissions", map[string]string{"outcome": "unknown"}, c.Unknown.Load())
	m.count("cancelled_tasks", map[string]string{"state": "queued"}, c.CancelledQueued.Load())
	m.count("cancelled_tasks", map[string]string{"state": "running"}, c.CancelledRunning.Load())
	for i := range c.Refused {
		if n := c.Refused[i].Load(); n > 0 {
			m.count("refusals", map[string]string{"reason": listener.ReasonName(wire.Reason(i))}, n)
		}
	}
}

func (m *metrics) scheduler(st scheduler.Stats) {
	for _, g := range []struct {
		name, tag, of string
		value         float64
	}{
		{"queued_tasks", "class", "short", float64(st.Short)},
		{"queued_tasks", "class", "long", float64(st.Long)},
		{"running_tasks", "", "", float64(st.Running)},
		{"overrun_tasks", "", "", float64(st.Overran)},
		{"quarantined_servers", "", "", float64(st.Quarantined)},
		{"learned_tasks", "", "", float64(st.Learned)},
		{"wait_error_seconds", "of", "bias", st.Wait.Bias.Seconds()},
		{"wait_error_seconds", "of", "mean_absolute", st.Wait.MeanAbsolute.Seconds()},
		{"wait_error_seconds", "of", "upper", st.Wait.Upper.Seconds()},
	} {
		scope := m.scope
		if g.tag != "" {
			scope = scope.Tagged(map[string]string{g.tag: g.of})
		}
		scope.Gauge(g.name).Update(g.value)
	}
}

func (r *Runner) collectPeers() {
	p := r.pinger.Stats()
	r.metrics.count("datagram_bytes", map[string]string{"direction": "sent"}, p.SentBytes)
	r.metrics.count("datagram_bytes", map[string]string{"direction": "received"}, p.ReceivedBytes)
	r.metrics.count("datagrams_rejected", nil, p.Rejected)
	r.metrics.count("datagrams_dropped", nil, p.Dropped)
	reachable := 0
	r.state.Lock()
	for _, v := range r.detector.Peers(time.Now()) {
		if v.Reachable {
			reachable++
		}
	}
	r.state.Unlock()
	r.metrics.gauge("entry_vms_reachable", float64(reachable))
}

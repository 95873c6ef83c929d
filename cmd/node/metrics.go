package main

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// collectEvery is how often counters are handed to the page that shows them.
const collectEvery = time.Second

// metrics counts what the parts of the process report.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "clementineyard", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, collectEvery)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}

func (m *metrics) count(name string, delta int64) { m.scope.Counter(name).Inc(delta) }

func (d *daemon) serveMetrics() error {
	ln, err := net.Listen("tcp", net.JoinHostPort(d.settings.IP, metricsPort))
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	go d.serve("metrics", &http.Server{Handler: d.metrics.handler, ReadHeaderTimeout: collectEvery}, ln)
	return nil
}

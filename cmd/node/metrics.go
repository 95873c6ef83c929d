package main

import (
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/counter"
)

// maxMetricsHeaderBytes bounds the header of a request for metrics, which has a few lines.
const maxMetricsHeaderBytes = 16 << 10

// metrics holds the counters of the process and the HTTP handler that serves them.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	scope, handler := counter.New()
	return &metrics{scope: scope, handler: handler}
}

// count adds delta to the counter with the given name.
func (m *metrics) count(name string, delta int64) { m.scope.Counter(name).Inc(delta) }

// serveMetrics serves the counters on metricsPort, until the process ends.
func (d *daemon) serveMetrics() error {
	ln, err := net.Listen("tcp", net.JoinHostPort(d.settings.IP, metricsPort))
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	server := &http.Server{Handler: d.metrics.handler, ReadHeaderTimeout: counter.ReportInterval, MaxHeaderBytes: maxMetricsHeaderBytes}
	acceptor.ServeHTTP(server)
	go d.serve("metrics", server, d.acceptor.Listen(ln, acceptor.Metrics))
	return nil
}

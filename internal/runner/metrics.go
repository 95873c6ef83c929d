package runner

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metrics is the process's tally scope and the handler that shows it in the usual text format.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "clementineyard", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, time.Second)
	scope.Counter("starts").Inc(1)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}

package counter

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// ReportInterval is the interval at which the scope reports its metrics to the handler.
const ReportInterval = time.Second

// New returns a process's root scope, which prefixes the names of metrics with "clementineyard", and the handler that
// serves them.
func New() (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "clementineyard", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, ReportInterval)
	return scope, reporter.HTTPHandler()
}
